Feature: Failures that operators of similar systems have met
  Guards against an answer that belongs to another call, packets that are cut off by a
  planned stop, and one message that ends a process.

  Scenario Outline: A second copy of an answer is not the answer to the next call
    Given a store with 2 targets
    And the store sends each answer again <after> s later
    When a client reads both targets in turn, <pause> s apart
    Then no read got the other target's entry
    And a client that reads again gets each target's entry

    Examples:
      | after | pause |
      | 0.05  | 0.2   |
      | 0.05  | 0.0   |
      | 0.0   | 0.0   |

  Scenario: A second copy of an earlier watch's answer does not end a watch
    Given a store with 2 targets
    And the store sends each answer again 0.1 s later
    When a client watches the targets twice after a change
    Then the second watch did not get the first one's answer

  Scenario: A second copy of an answer does not hide a colleague's override
    Given a store with 2 targets
    And a colleague's override of the first target
    And the store sends each answer again 0.02 s later, and each answer takes 0.05 s
    When an operator sets pull on i-00000001
    Then it ends with CONFLICT

  Scenario: A host follows a store that sends each answer twice
    Given a store with 7 targets
    And the store sends each answer again 0.02 s later
    When a host follows the store
    And the store breaks all connections while a target is added and one is removed
    Then it knows the added target and not the removed one

  Scenario Outline: One message ends no process
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the second host receives <message>
    And configuration 9 is written
    Then configuration 9 is in force on all hosts
    And no host has ended

    Examples:
      | message                                |
      | a report nested too deep               |
      | a report with an address that is none  |
      | a report with a load that is no number |
      | a relay request nested too deep        |
      | a target's entry nested too deep       |

  Scenario: An unexpected error drops one packet
    Given a host whose handling of the first packet fails
    When it receives 2 packets
    Then both were handled, and the error of the first one is counted

  Scenario: A loop that fails runs again
    Given a loop that fails twice
    When it runs under the guard
    Then it has run 3 times, and 2 errors are counted

  Scenario: Packets received before a planned stop are forwarded
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the second host gets SIGTERM
    And it is suspended until its drain has ended, while 200 packets arrive
    Then it exits with 0
    And it has forwarded 200 packets
