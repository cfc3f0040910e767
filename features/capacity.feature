Feature: Control cost at the capacity goal
  The bounds are the control budget of docs/design.md section 1.4: 24 KB a second
  and 64 MB for each node, and 2,000 reads a second at the platform, with 550 nodes
  in 8 failure domains. Bytes include 28 for the IP and UDP headers, and both
  directions count.

  # Guards against a heartbeat or ping that outgrows the budget.
  Scenario: Control messages of a host fit the budget
    Given a host of a capacity-goal domain of 69 members with 9 targets each
    And 300 services of its capacity-goal domain that are full
    When its control messages are counted for 60 seconds
    Then heartbeats and pings together take at most 24576 bytes a second

  # Guards against a budget that is met by withholding loads.
  Scenario: Loads still reach each peer in time
    Given a host of a capacity-goal domain of 69 members with 9 targets each
    When its control messages are counted for 60 seconds
    Then each peer gets its loads at least every 5 seconds

  # Guards against loads that lag in small domains, where they cost little.
  Scenario: In a small domain each regular heartbeat carries loads
    Given a host of a capacity-goal domain of 3 members with 9 targets each
    When its control messages are counted for 60 seconds
    Then each peer gets its loads at least every 0.75 seconds

  # Guards against a joiner that spends its calls on reads and never writes.
  Scenario: A joiner that always loses the race stays within its calls
    Given a host outside a capacity-goal view whose writes always conflict
    When it tries to join for 120 seconds
    Then it makes at most 2 calls a second to the platform
    And it writes as often as it reads

  # Guards against a home that differs between hosts after a change of the view.
  Scenario: Kept choices equal fresh choices after any changes
    When the names of kept rendezvous choices change 300 times
    Then each kept choice equals a fresh one

  # Guards against a choice that is made anew for each target at each change.
  Scenario: A change of one member costs one comparison for each target
    Given kept rendezvous choices of 588 targets among 69 members
    When one member leaves the kept choices and comes back
    Then at most 2000 scores are computed

  # Guards against a configuration that leaves no room in 64 MB: it may take a
  # quarter, since old and new configuration exist together during a change.
  Scenario: The configuration fits its share of the memory
    When the capacity-goal configuration is read and merged
    Then it keeps at most 16777216 bytes

  # Guards against call budgets that together exceed what the platform serves.
  Scenario: The calls of all hosts fit the platform
    Then 550 hosts at their call budgets make at most 2000 calls a second

  # Guards against probes that cost more than the requests they check.
  Scenario: A target that answers requests is not probed as well
    When a target at the capacity goal answers requests for 30 seconds
    Then its health endpoint is read at most 2 times
    And its load endpoint is read at least 8 times

  # Guards against a silent target that nobody probes.
  Scenario: A target without requests is probed every second
    When a target at the capacity goal answers no requests for 30 seconds
    Then its health endpoint is read at least 24 times
