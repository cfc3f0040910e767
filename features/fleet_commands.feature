Feature: Operators' commands on the users' platform
  Guards against an override that is lost, doubled, replaced in silence, or reported
  with another outcome than it had.

  Scenario: What the store holds is shown
    Given a store with 2 targets
    Then fleet routes shows version 5 and r443
    And fleet targets shows i-00000001 with new flows

  Scenario Outline: An override is in force on a host and explained
    Given a store with 2 targets
    When a host follows the store and its overrides
    And an operator sets <kind> on i-00000001
    Then the command ends with OK
    And the host admits new flows at i-00000001: <admitted>
    And fleet explain i-00000001 tells <admitted>
    When the operator removes the override
    Then the command ends with OK
    And the host admits new flows at i-00000001: yes

    Examples:
      | kind     | admitted |
      | pull     | no       |
      | drain    | no       |
      | weight 0 | no       |
      | weight 5 | yes      |

  Scenario: An override stays over a new configuration
    Given a store with 2 targets
    When a host follows the store and its overrides
    And an operator sets pull on i-00000001
    And configuration 9 is written
    Then the host comes to configuration 9
    And the host admits new flows at i-00000001: no

  Scenario: An answer that is lost is settled
    Given a store with 2 targets
    And the store loses the next answer to a write
    When an operator sets pull on i-00000001
    Then the command ends with OK
    And there is one override by Ana

  Scenario: A removal whose answer is lost is settled
    Given a store with 2 targets
    When an operator sets pull on i-00000001
    And the store loses the next answer to a write
    And the operator removes the override
    Then the command ends with OK

  Scenario: A colleague's override is not replaced
    Given a store with 2 targets
    And a colleague has drained i-00000001
    When an operator sets pull on i-00000001
    Then the command ends with CONFLICT and names Ion
    And there is one override by Ion

  Scenario: A colleague's change between look and removal
    Given a store with 2 targets
    And a colleague has drained i-00000001
    When the operator removes the override at an older revision
    Then the command ends with CONFLICT and names revision
    And there is one override by Ion

  Scenario Outline: A store that cannot be used
    Given a store with 2 targets
    And the store <trouble> for operators
    When an operator sets pull on i-00000001
    Then the command ends with NOT_ACCEPTED

    Examples:
      | trouble     |
      | answers 503 |
      | answers 429 |

  Scenario: A target that does not exist
    Given a store with 2 targets
    When an operator sets pull on i-0000dead
    Then the command ends with NOT_FOUND

  Scenario Outline: Wrong arguments
    Given a store with 2 targets
    When basilgate is called with <arguments>
    Then it ends with USAGE

    Examples:
      | arguments                                                   |
      | fleet override i-00000001 freeze --operator Ana             |
      | fleet override i-00000001 weight --operator Ana             |
      | fleet override i-00000001 pull --weight 3 --operator Ana    |
      | fleet targets --store nowhere                               |
      | fleet targets --output xml                                  |
      | fleet release i-00000001 1.x                                |
      | fleet release i-00000001 -1                                 |

  Scenario: A release that was meant for an override from before the store's return
    Given a store with 2 targets
    And a copy of the store
    When an operator sets pull on i-00000001
    And the operator looks at the overrides
    And the store returns from the copy
    And a colleague drains i-00000001, which gets the same revision
    And the operator removes the override that was shown
    Then the command ends with CONFLICT and names revision 2.
    And there is one override by Ion
