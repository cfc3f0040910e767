Feature: Evacuations in the store
  Guards against an evacuation that reaches a host late or not at all, and against calls
  to the store for a kind that the deployment does not have.

  Scenario: An evacuation and its removal reach all hosts in time
    Given a store with 2 targets
    And a deployment with evacuations
    And three hosts of one failure domain
    When all hosts have the documents
    And the operator evacuates d1
    Then the evacuation of d1 is in force on all hosts within 5 s
    And at most 1 host has watched the evacuations
    When a flow opens at the second host
    Then the flow is reset because of the evacuation
    When the operator takes back the evacuation of d1
    Then the evacuation of d1 has ended on all hosts within 5 s

  Scenario: A deployment without evacuations
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the operator evacuates d1
    And configuration 9 is written
    Then configuration 9 is in force on all hosts
    And the store was never asked for evacuations

  Scenario Outline: Troubles of the store
    Given a store with 2 targets
    And a deployment with evacuations
    And three hosts of one failure domain
    When all hosts have the documents
    And the store <trouble> for 1 s while the operator evacuates d1
    Then the evacuation of d1 is in force on all hosts within 5 s

    Examples:
      | trouble             |
      | answers 503         |
      | answers 429         |
      | forgets its history |

  Scenario: The store is silent for the source alone
    Given a store with 2 targets
    And a deployment with evacuations
    And two hosts of one failure domain and one of another, the first with an address of its own
    When the second host follows the first
    And the store falls silent for the first host
    And the operator evacuates d1
    Then the evacuation of d1 is in force on all hosts within 5 s

  Scenario: A host that starts gets the evacuation before it is ready
    Given a store with 2 targets
    And a deployment with evacuations
    And the operator has evacuated d1
    And three hosts of one failure domain
    Then each host had the evacuation of d1 before it was ready

  Scenario: A host that cannot read the evacuations is not ready
    Given a store with 2 targets
    And a deployment with evacuations
    And the store refuses to list evacuations
    When one host starts, and 2 s pass
    Then the started host is not ready
    When the store lists evacuations once more
    Then the started host becomes ready

  Scenario: A copy of the store without the evacuation, which is written again
    Given a store with 2 targets
    And a deployment with evacuations
    And a copy of the store
    And three hosts of one failure domain
    When all hosts have the documents
    And the operator evacuates d1
    Then the evacuation of d1 is in force on all hosts within 5 s
    When the store returns from the copy
    And 10 s later the operator evacuates d1
    Then the evacuation of d1 does not end on any host within 8 s

  Scenario: A copy of the store without the evacuation, which nobody writes again
    Given a store with 2 targets
    And a deployment with evacuations
    And a copy of the store
    And three hosts of one failure domain
    When all hosts have the documents
    And the operator evacuates d1
    Then the evacuation of d1 is in force on all hosts within 5 s
    When the store returns from the copy
    Then the evacuation of d1 does not end on any host within 12 s
    And the evacuation of d1 has ended on all hosts within 18 s

  Scenario: A removed evacuation that comes back with the copy
    Given a store with 2 targets
    And a deployment with evacuations
    And three hosts of one failure domain
    When all hosts have the documents
    And the operator evacuates d1
    Then the evacuation of d1 is in force on all hosts within 5 s
    When a copy of the store is made
    And the operator takes back the evacuation of d1
    Then the evacuation of d1 has ended on all hosts within 5 s
    When the store returns from the copy
    Then the evacuation of d1 is in force on all hosts within 5 s
    When the operator takes back the evacuation of d1
    Then the evacuation of d1 has ended on all hosts within 5 s

  Scenario: Operators' commands
    Given a store with 2 targets
    When an operator sets pin on i-00000001
    And the operator evacuates d1
    And basilgate is called with fleet evacuations
    Then the command ends with OK and names d1
    When basilgate is called with fleet explain i-00000001
    Then the command ends with OK and names evacuation of d1
    When basilgate is called with fleet targets
    Then the command ends with OK and names evacuation of d1
