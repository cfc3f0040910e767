Feature: Membership, leases, and changes of home
  Guards against two homes that both forward, requests that run twice, and "not run"
  for a request that ran. All times are virtual, so each run has the same events.

  Scenario Outline: A death is detected within 3 s
    Given a domain of <members> members
    When one member is killed
    Then every survivor adopts a view without it within 3 s

    Examples:
      | members |
      | 2       |
      | 3       |
      | 69      |

  Scenario Outline: A member that is slow for 1 s stays
    Given a domain of <members> members
    When one member is paused for 1 s
    Then no view without it is written

    Examples:
      | members |
      | 2       |
      | 3       |
      | 69      |

  Scenario: A lease lapses before another home may forward
    Given a domain of 3 members
    When the home of target 1 is cut off from the others but not from its callers
    Then the new home has authority only after the lease of the former one

  Scenario: A host that hears nobody does not remove the healthy members
    Given a domain of 3 members
    When one member is cut off from the others for 25 s
    Then the others stay members, and hold their leases again

  Scenario: A resumed holder comes back as a new incarnation
    Given a domain of 3 members
    When the home of target 1 is paused for 20 s
    Then it is a member again with a higher incarnation
    And it refuses no heartbeat of its successors

  Scenario: Messages of a former incarnation are refused
    Given a domain of 3 members
    When one member restarts at its address
    Then a heartbeat of its former incarnation is refused with stale_incarnation

  Scenario: A restart at the same address proves the end without the platform
    Given a domain of 3 members
    When the platform goes down and one member restarts at its address
    Then the other members keep their leases

  Scenario: A death without the platform stops only non-idempotent work
    Given a domain of 3 members
    When the platform goes down and one member is killed
    Then the other members lose their leases
    And an idempotent request is answered at each target
    And a non-idempotent request gets no answer and no refusal

  Scenario: A planned leave hands over at once
    Given a domain of 3 members
    When the home of target 1 leaves with requests in its queue
    Then each request is answered once
    And the next home has authority within 1 s

  Scenario Outline: Hosts that start at once all come to serve
    Given no host runs
    When <hosts> hosts start within 1 s
    Then each target has one home, and it has authority

    Examples:
      | hosts |
      | 8     |
      | 24    |

  Scenario: A handover that may have been taken is not simply taken back
    Given a domain of 3 members
    When a home leaves, its handover is taken but the answer is lost, and the heir dies
    Then the former home waits for the heir's lease before it has authority again

  Scenario: A removal whose answer was lost takes effect once
    Given a domain of 3 members
    When one member is killed and the answer to its removal is lost
    Then every survivor adopts the same view

  Scenario Outline: Random faults leave every request run at most once
    When seed <seed> drives kills, pauses, cuts, restarts, and platform outages
    Then no non-idempotent request ran twice
    And no request that was reported as not run has run
    And no target had more than 3 requests in flight unless a home was cut off

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 24   |
