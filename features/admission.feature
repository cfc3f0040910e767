Feature: Admission control
  Guards against losses of the higher class while a lower one is served, against
  refusals while capacity is left, and against capacity that refusals leave unused.

  Scenario Outline: The higher class is served first, and all capacity is used
    When <what> at <hosts> hosts, with and without admission control
    Then the higher class loses at most 1%
    And the lower class is served too
    And the targets are used to 95% of what they are without it
    And a tenth of the tries is turned away by targets

    Examples:
      | hosts | what                                                          |
      | 8     | six in ten targets are gone and demand is 2.5 times the usual |
      | 8     | the lower class comes 2.3 times as often                      |
      | 8     | the demand of the lower class alone is too high               |

    @known_red
    Examples: Each host sees few of the flows
      | hosts | what                                                          |
      | 30    | six in ten targets are gone and demand is 2.5 times the usual |

  Scenario: Nothing is refused while capacity is left
    Given 8 hosts and 20 targets with callers of two priorities
    When the demand is 0.3 and 0.4 of the capacity for 8 s
    Then nothing is refused

  Scenario: Without reports nothing is refused
    Given 8 hosts and 8 targets with callers of two priorities
    When all reports are lost
    And the demand is 0.5 and 1.5 of the capacity for 3 s
    Then nothing is refused

  Scenario: A domain that is cut off counts its own capacity only
    Given 8 hosts and 8 targets with callers of two priorities
    When the hosts of each failure domain hear only their own
    And the demand is 0.3 and 1.2 of the capacity for 4 s
    Then only the lower class is refused
    And only the 8 slots of the own failure domain count

  Scenario Outline: A host that has just started refuses nothing
    When a host starts that has heard <heard> of 8 peers, at full queues
    Then of 400 callers of the lower class <share> are refused

    Examples:
      | heard | share |
      | 0     | none  |
      | 1     | none  |
      | 4     | most  |

  Scenario: Priorities are ranked for each service, and each caller gets its turn
    Then with 4 priorities the lower rank is always refused first
    And each of 400 callers gets a turn within 300 s
