Feature: The store returns from a copy of its data
  Guards against hosts that compare revisions from before and after the return, although
  the store gives them out again.

  Scenario: A change that gets a revision which was given out before the return
    Given a store with 2 targets
    And a copy of the store
    When a host follows the store
    And configurations 6 and 7 are in force there
    And the store returns from the copy
    And the operator writes configuration 7 again, and then 9
    Then configuration 9 is in force there

  Scenario: A configuration that the copy lacks stays in force
    Given a store with 2 targets
    And a copy of the store
    When a host follows the store
    And configurations 6 and 7 are in force there
    And the store returns from the copy
    Then the host has listed all kinds again
    And configuration 7 is in force there
    And a host that starts from its documents has configuration 7

  Scenario: Two returns in succession
    Given a store with 2 targets
    And a copy of the store
    When a host follows the store
    And configurations 6 and 7 are in force there
    And the store returns from the copy
    And the store returns from the copy
    And the operator writes configuration 7 again, and then 9
    Then configuration 9 is in force there

  Scenario Outline: Targets that the copy has in an older state
    Given a store with 3 targets
    And a copy of the store
    When a host follows the store
    And the first target <change>
    And the store returns from the copy
    Then the host has listed all kinds again
    And new flows at the first target: <admitted>

    Examples:
      | change                         | admitted |
      | announces that it leaves       | no       |
      | announces its leave and leaves | no       |
      | lapses                         | yes      |
      | starts again and leaves        | no       |
      | reports as usual               | yes      |

  Scenario: A target that the copy lacks is used until it reports again
    Given a store with 3 targets
    And a copy of the store
    When a host follows the store
    And a target joins
    And the store returns from the copy
    Then new flows at the joined target: yes
    When the joined target reports again
    And 2.5 s have passed
    Then new flows at the joined target: yes

  Scenario: A target that the copy lacks and that does not report is gone
    Given a store with 3 targets
    And a copy of the store
    When a host follows the store
    And a target joins
    And the store returns from the copy
    And 2.5 s have passed
    Then new flows at the joined target: no

  Scenario: A watch that stays open across the return
    Given a store with 2 targets
    And a copy of the store
    When a host follows the store
    And configurations 6 and 7 are in force there
    And the store keeps waiting watches and returns from the copy
    And a target joins
    And the operator writes configuration 7 again, and then 9
    Then configuration 9 is in force there
    And the host has listed all kinds again

  Scenario: A first listing from before the return
    Given a store with 2 targets
    And the first target announces that it leaves in the store
    And the store's listings that may be old stay as they are now
    And the store returns from a copy without that, and the target reports again
    When a host follows the store
    Then the host has listed all kinds again
    And new flows at the first target: no

  Scenario Outline: An era that cannot be used
    Given a store with 2 targets
    When a host follows the store
    And the store's answers state the era <era>
    And configuration 6 is written by the operator
    Then configuration 6 is not taken from them
    When the store's answers state their era again
    Then configuration 6 is in force there

    Examples:
      | era                  |
      | 0                    |
      | none                 |
      | -3                   |
      | x1                   |
      | 99999999999999999999 |

  Scenario Outline: Hosts on both sides of the return exchange documents
    Given a document of kind <kind> from before the return: <before>
    And the one that the copy has: <copy>
    Then both hosts keep the one from <winner>, whoever sends first

    Examples:
      | kind                | before             | copy             | winner     |
      | config              | version 9          | version 6        | before     |
      | config              | version 6          | version 9        | the copy   |
      | servers             | report 7, draining | report 5, ready  | before     |
      | servers             | report 5, ready    | report 7, ready  | the copy   |
      | servers             | removed draining   | report 5, ready  | before     |
      | servers             | removed ready      | report 7, ready  | the copy   |
      | servers             | report 9, ready    | removed ready    | the copy   |
      | servers             | report 7, ready    | unreadable       | the copy   |
      | basilgate-overrides | set at 50          | set at 40        | before     |
      | basilgate-overrides | removed, set at 50 | set at 50        | before     |
      | basilgate-overrides | set at 40          | set at 50        | the copy   |

  Scenario Outline: A host that hears of the return from its peers only
    Given a store with 2 targets
    And a copy of the store
    And two hosts of one failure domain and one of another, the first with an address of its own
    When the second host follows the first
    And all three hosts have configuration 7
    And the store <trouble> for the first host and returns from the copy
    And the operator writes configuration 7 again, and then 9
    Then configuration 9 is in force on all hosts
    And the first host's documents are from after the return

    Examples:
      | trouble             |
      | falls silent        |
      | keeps its watches   |

  Scenario: An override that the copy lacks stays in force and is written again
    Given a store with 2 targets
    And a copy of the store
    And three hosts of one failure domain
    When all hosts have the documents
    And an operator sets pull on i-00000001
    And all hosts have the override
    And the store returns from the copy
    Then the store holds the override of i-00000001 by Ana again
    And no host has given it up
    And one host alone has written it

  Scenario: A released override that the copy has stays released
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And an operator sets pull on i-00000001
    And all hosts have the override
    And a copy of the store is made
    And the operator removes the override
    And all hosts have given it up
    And the store returns from the copy
    Then the store knows again that the override of i-00000001 is released
    And no host has put it in force again
    And fleet explain i-00000001 shows no override

  Scenario: An override that is set after the return is not replaced by an older one
    Given a store with 2 targets
    And a copy of the store
    And three hosts of one failure domain
    When all hosts have the documents
    And an operator sets pull on i-00000001
    And all hosts have the override
    And the store returns from the copy
    And an operator sets drain on i-00000001
    Then the operator learns which of the two is in force
    And all hosts have what the store holds

  Scenario: Hosts that sleep through a return and a release do not undo the release
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And an operator sets pull on i-00000001
    And all hosts have the override
    And a copy of the store is made
    And all hosts are suspended
    And the store returns from the copy
    And the operator removes the override
    And all hosts go on
    Then all hosts have given it up
    And the override stays released for 3 s

  Scenario: A host that starts after an override was released does not apply it
    Given a store with 2 targets
    When an operator sets pull on i-00000001
    And the operator removes the override
    And a host follows the store
    Then the host admits new flows at i-00000001: yes
    When an operator sets pull on i-00000001
    Then the command ends with OK
    And the host admits new flows at i-00000001: no

  Scenario: Records of overrides that were released long ago are removed
    Given a store with 2 targets
    And a record of an override of i-00000009 that was released 2 h ago
    When an operator sets pull on i-00000001
    Then the command ends with OK
    And there is one override by Ana

  Scenario: A host that takes its source's place writes the lost overrides
    Given an override that a source kept when the store lost it
    When another host takes the source's documents
    Then it knows that the store lost the override
    When the override is in the store again, and the source passes that on
    Then it knows of no lost override

  Scenario: A host that starts from the copy takes the newer configuration of its peers
    Given a store with 2 targets
    And a copy of the store
    And three hosts of one failure domain
    When all hosts have the documents
    And all three hosts have configuration 7
    And the store returns from the copy
    And a fourth host starts
    Then configuration 7 is in force on the fourth host as well
    And the second host tells in its log when it learned of the return

  Scenario: A host whose documents a peer confirms after the return tells that in its log
    Given an override that a source kept when the store lost it
    When another host that knows the override asks the source
    Then it tells in its log that the overrides are of the next era
