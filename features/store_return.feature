Feature: The store returns from a copy of its data
  Guards against hosts that compare revisions from before and after the return, although
  the store gives them out again.

  @known_red
  Scenario: A change that gets a revision which was given out before the return
    Given a store with 2 targets
    And a copy of the store
    When a host follows the store
    And configurations 6 and 7 are in force there
    And the store returns from the copy
    And the operator writes configuration 7 again, and then 9
    Then configuration 9 is in force there
