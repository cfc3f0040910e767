Feature: Hosts that are behind catch up with their peers
  Guards against documents that a host counts as received although no peer has sent them.

  Scenario: Unchanged kinds do not end the transfer of the changed ones
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    When the host catches up with the peer
    Then the host knows 6 targets

  Scenario: A peer that has restarted has not sent what it reported before
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    When the peer reports what it knows and starts again without documents
    And 1.5 s of reports pass at the host
    And another peer reports the sixth target
    Then the host is still behind

  Scenario: A batch of documents is not cut when another upstream appears
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target and configuration 6
    And a host that watches the store is heard
    When the host follows the peer
    Then the host knows 6 targets
    And the host has configuration 6

  Scenario: A peer that refuses connections does not delay the next one
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    When the peer and a host that has stopped report the sixth target
    And 3 s of reports pass at the host
    Then the host knows 6 targets

  Scenario: A host that the store has not answered is no upstream
    Given a store with 2 targets
    And a store that stops answering after the first listings
    When a host follows the store for 2 s
    Then it does not claim to watch the store

  Scenario: The store is silent for the only host that watches it
    Given a store with 2 targets
    And two hosts of one failure domain, the first with an address of its own
    When the second host follows the first
    And the store falls silent for the first host
    And configuration 9 is written
    Then configuration 9 is in force on the other hosts

  Scenario: A peer's listing that may be old does not count as received
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer has started again and knows a sixth target from a listing that may be old
    When the host catches up with the peer
    And another peer reports the sixth target
    Then the host is still behind

  Scenario: An upstream of the previous version that lost the store is left
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer runs the previous version
    And a host that watches the store is heard
    When the host follows the peer for 2 s
    Then it has left the peer

  Scenario: Connections to the store go silent while new ones work
    Given a store with 2 targets
    When a host follows the store for 2 s
    And no waiting call to the store is answered any more
    And a third target is added to the store
    Then the host knows 3 targets while its other watches still wait

  Scenario: An overdue report keeps its time when that of another peer is met
    Given a host and a peer that both know 5 targets and configuration 5
    And one peer reports configuration 6 and another the sixth target
    When 1 s of both reports pass
    And the host gets configuration 6
    And 0.3 s of both reports pass
    Then the host asks the peer that has the sixth target

  Scenario: A configuration that cannot be read does not flood the peers
    Given a host and a peer that both know 5 targets and configuration 5
    And a peer reports a configuration that the host cannot read
    When 21 s of its reports and those of 39 others pass
    Then the host has asked at most 10 times

  Scenario: An upstream that is behind does not undo that a target leaves
    Given a host and a peer that both know 5 targets and configuration 5
    And the host has started with a listing that may be old, in which target 1 leaves
    When the host catches up with the peer
    Then target 1 leaves on the host
    When the store lists target 1 as ready again
    Then target 1 is ready on the host

  Scenario: A change that is overdue is fetched from a peer that learns of it late
    Given a host and a peer that both know 5 targets and configuration 5
    When a peer reports the sixth target and starts again without documents
    And another peer reports the sixth target 1.2 s later
    And 0.3 s of both reports pass
    Then the host asks the peer that has the sixth target

  Scenario: A later report of a target takes effect at a position that is not new
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer has started again with an old listing in which target 1 leaves
    When the host catches up with the peer
    Then target 1 leaves on the host

  Scenario: An upstream that stands still is not chosen again before it is heard
    Given a host and a peer that both know 5 targets and configuration 5
    And two hosts that accept connections and send nothing
    And the first of them is heard as a host that watches the store
    When the host follows it until it gives up
    Then the host chooses no upstream
    When the first of them is heard as a host that watches the store
    Then the host chooses it as upstream

  Scenario: A host that catches up with a peer keeps its upstream
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    And the host follows a host that watches the store
    When the host catches up with the peer
    Then the host knows 6 targets
    And what the peer has sent counts as received
    And the host still follows the host that watches the store

  Scenario: A host that nobody supplies does not wait until a report is overdue
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    When the peer reports the sixth target
    And 0.2 s of reports pass at the host
    Then the host knows 6 targets

  Scenario: A peer that stands still is given up after a while
    Given a host and a peer that both know 5 targets and configuration 5
    And two hosts that accept connections and send nothing
    When the host catches up with the first of them
    Then it has given up after 1 s, and nothing counts as received

  Scenario: Peers that stand still do not delay the next one
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    And two hosts that accept connections and send nothing
    When they and the peer report the sixth target for at most 3 s
    Then the host knows 6 targets

  Scenario: An upstream that trickles does not keep its downstream from a peer
    Given a host and a peer that both know 5 targets and configuration 5
    And the peer alone knows a sixth target
    And an upstream that sends a byte of a message now and then
    When the upstream and the peer report the sixth target for at most 3 s
    Then the host knows 6 targets
    And the host has left the upstream that trickles within 3 s

  Scenario Outline: One lost answer to a watch is noticed while the other watches go on
    Given a store with 2 targets
    When a host follows the store for 2 s
    And the answer to its watch of <kind> is lost
    And <change>
    Then the host has <effect> within 3 s

    Examples:
      | kind                | change                             | effect      |
      | servers             | a third target is added to the store | 3 targets   |
      | basilgate-overrides | an override of a target is added   | 1 overrides |

  Scenario: Revisions that the store gives out again do not count as received
    Given a host and a peer that both know 5 targets and configuration 5
    When the host has received a target at revision 11
    Then no change up to revision 11 is missing
    When the store has come back from a copy, and all kinds are listed up to revision 9
    Then a change up to revision 11 is missing
