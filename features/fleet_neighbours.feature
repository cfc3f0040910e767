Feature: Reports between balancers
  Guards against load, silence, or versions of other hosts that are taken wrongly.

  Scenario: Load of all hosts adds up, and that of a host that has gone ends
    Given a host with neighbours
    When two neighbours report 3 and 4 flows at a target
    Then 7 flows are known there
    When 2 s pass without reports
    Then 0 flows are known there

  Scenario: A failure domain is silent after half a second and heard again
    Given a host with neighbours
    When two neighbours report 3 and 4 flows at a target
    And 0.6 s pass without reports
    Then the far failure domain is silent
    When two neighbours report 3 and 4 flows at a target
    Then the far failure domain is heard again

  Scenario: A pause of this host is no silence of others
    Given a host with neighbours
    When two neighbours report 3 and 4 flows at a target
    And this host pauses for 5 s
    Then the far failure domain is not silent

  Scenario Outline: Whom to follow
    Given a host with neighbours
    When near hosts have started at <near>, this one at 50, and a far one at 1
    And this host is refused by the store: <refused>
    Then it follows <source>

    Examples:
      | near        | refused | source   |
      | 10, 20      | no      | near 10  |
      | 60, 70      | no      | nobody   |
      | 60, 70      | yes     | near 60  |
      | none        | no      | nobody   |
      | none        | yes     | the far  |
      | 10 behind   | yes     | the far  |

  Scenario: Random datagrams are no reports
    Given a host with neighbours
    When random datagrams arrive
    Then no neighbour is known

  Scenario: Hosts of a failure domain ask the store in the order of their start
    Given a host with neighbours
    When near hosts have started at 10, 20, 60, this one at 50, and a far one at 1
    Then 2 hosts are to ask before it
    When 1.3 s pass without reports
    Then 0 hosts are to ask before it

  Scenario: Hosts that start at once leave the store to two of each failure domain
    Given 5 failure domains of 39 hosts that start within 0.3 s and know three seeds
    When 4 s pass in which they list once and exchange reports
    Then at most 10 hosts have watched the store
    And the others take documents from a host that watches it

  Scenario: A source is kept while it follows the store
    Given a host with neighbours
    When near hosts have started at 20, this one at 50, and a far one at 1
    And this host takes documents from the near 20
    And a near host that has started at 10 is heard
    Then it stays with the near 20
    When the near 20 no longer follows the store
    Then it goes to the near 10

  Scenario: A host that does not take a connection is no source for a while
    Given a host with neighbours
    When near hosts have started at 10, 20, this one at 50, and a far one at 1
    And the near 10 takes no connection
    Then it goes to the near 20
