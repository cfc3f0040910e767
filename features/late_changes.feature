Feature: A change reaches each host within 3 s while other hosts stand still
  Guards against hosts that wait for an upstream which no longer gets the store's changes.

  Scenario: The store falls silent for an upstream right after a change
    Given a store with 2 targets
    And 6 hosts of one failure domain with links of their own
    When configuration 7 is in force on all of them
    And the store falls silent for the first 1 hosts and configuration 8 is written
    Then configuration 8 is in force on the other hosts within 3 s

  Scenario: The store falls silent for an upstream and the two hosts that come next
    Given a store with 2 targets
    And 6 hosts of one failure domain with links of their own
    When configuration 7 is in force on all of them
    And the store falls silent for the first 3 hosts and configuration 8 is written
    Then configuration 8 is in force on the other hosts within 3 s

  Scenario Outline: An upstream that was suspended runs again and is behind
    Given a store with 2 targets
    And 6 hosts of one failure domain with links of their own
    When configuration 7 is in force on all of them
    And the first host is suspended for <suspended> s and gets no answers afterwards, and configuration 8 is written
    Then configuration 8 is in force on the other hosts within 3 s

    Examples: It runs again before another host has read the store
      | suspended |
      | 0.8       |

    Examples: It runs again later
      | suspended |
      | 1.2       |
      | 1.8       |

  Scenario Outline: Calls of a silent outage that are never answered delay later changes
    Given a store with 2 targets
    And 6 hosts of one failure domain with links of their own
    When configuration 7 is in force on all of them
    And the store is silent for all hosts for <silent> s, and those calls stay unanswered
    And a target leaves and configuration 8 is written
    Then all hosts know both within 4 s

    Examples:
      | silent |
      | 0.3    |
      | 1.0    |
      | 3.3    |
