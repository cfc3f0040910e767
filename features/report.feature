Feature: Report on service-level burn
  Guards against a report that hides lost work, or raises a false alarm after a
  balancer has restarted.

  Scenario: Burn rates by window, class, and service
    Given burn samples of balancer b1
      | minute | answered | slow | refused:queue_full | unknown:home_changed |
      | 0      | 0        | 0    | 0                  | 0                    |
      | 60     | 900      | 0    | 0                  | 0                    |
      | 120    | 1800     | 50   | 30                 | 20                   |
    When the burn is reported
    Then desk burns at 10.00 over 3600 s and at 5.26 over 7200 s
    And the burn of desk has 100 errors: 50 answered:too_slow, 30 refused:queue_full, 20 unknown:home_changed

  Scenario: Work that its caller cancelled does not count
    Given burn samples of balancer b1
      | minute | answered | refused:cancelled | unknown:cancelled_after_start |
      | 0      | 0        | 0                 | 0                             |
      | 60     | 90       | 500               | 10                            |
    When the burn is reported
    Then desk burns at 10.00 over 3600 s and at 10.00 over 7200 s

  Scenario: A restarted balancer does not distort the counts
    Given burn samples of balancer b1
      | minute | started | answered | unknown:home_changed |
      | 0      | 0       | 5000     | 400                  |
      | 60     | 0       | 5090     | 410                  |
      | 120    | 100     | 90       | 10                   |
    And burn samples of balancer b2
      | minute | started | answered | unknown:home_changed |
      | 0      | 0       | 700      | 7                    |
      | 120    | 0       | 800      | 7                    |
    When the burn is reported
    Then desk burns at 6.67 over 3600 s and at 6.67 over 7200 s
    And the burn notes name b1

  Scenario: A balancer that started after the first sample counts in full
    Given burn samples of balancer b1
      | minute | answered |
      | 0      | 0        |
      | 120    | 0        |
    And burn samples of balancer b2
      | minute | started | answered | unknown:home_changed |
      | 120    | 70      | 90       | 10                   |
    When the burn is reported
    Then desk burns at 10.00 over 3600 s and at 10.00 over 7200 s

  Scenario Outline: An alert needs both of its windows
    Given burn samples of balancer b1
      | minute | answered | unknown:home_changed |
      | 0      | 0        | 0                    |
      | 60     | 9000     | 0                    |
      | 119    | 18000    | <lost before>        |
      | 120    | 18100    | <lost>               |
    When the burn is reported
    Then the burn alerts are <alerts>

    Examples:
      | lost before | lost | alerts |
      | 0           | 100  | none   |
      | 4000        | 4000 | none   |
      | 4000        | 4100 | page   |

  Scenario: A silent balancer is named in every format
    Given burn samples of balancer b1
      | minute | answered | unknown:home_changed |
      | 0      | 0        | 0                    |
      | 60     | 90       | 1                    |
    And balancer b7 gave no burn samples
    When the burn is reported
    Then the burn report names b7 as text, json, and html
    And the burn page loads nothing from elsewhere

  Scenario Outline: Wrong use of the burn report ends with one line
    When basilgate-report runs with <arguments> and the burn settings <line>
    Then it ends with status 2 and names <name> for the burn report

    Examples:
      | arguments            | line                        | name              |
      | show NONE            | [report]                    | cannot read       |
      | show EMPTY           | [report] windows_s=5,x      | [report] windows  |
      | show EMPTY           | [alert page] burn=no        | [alert] page      |
      | show EMPTY           | [objective desk] p99=5      | [objective] desk  |
      | show EMPTY           | [repport] a=1               | [repport]         |
      | show BROKEN          | [report]                    | :1:               |
      | show EMPTY --form=x  | [report]                    | text              |
      | collect NEW          | [report]                    | --platform        |

  Scenario: Samples come from the metrics that a balancer serves
    Given a balancer's admin interface that has counted 3 answered and 1 refused request for the burn
    When burn samples are collected from it and from an address where nothing listens
    Then the burn samples hold 3 answered and 1 refused request, and one silent host
