Feature: A configuration is checked before it is sent
  Guards against a configuration that hosts refuse, or of which a part has no effect, and
  that shows it only when it is in force.

  Scenario: A good configuration has no findings
    Given a good configuration
    When it is checked
    Then the check ends with OK and finds nothing

  Scenario: An object of the store is accepted
    Given a good configuration
    And it is wrapped as the store keeps it
    When it is checked
    Then the check ends with OK and finds nothing

  Scenario Outline: One fault is found with its entry and field
    Given a good configuration
    And its <field> is <value>
    When it is checked
    Then the check ends with FAILED and finds <name> at <entry>

    Examples: fields
      | field                     | value         | name           | entry                                 |
      | config-version            | absent        | missing        | configuration config-version          |
      | config-version            | true          | mistyped       | configuration config-version          |
      | config-version            | -1            | out-of-range   | configuration config-version          |
      | routes                    | {}            | mistyped       | configuration routes                  |
      | services                  | absent        | missing        | configuration services                |
      | limits                    | 5             | mistyped       | configuration limits                  |
      | routes/1                  | [[]]          | mistyped       | routes[1]                             |
      | routes/0/name             | ""            | out-of-range   | routes[0] name                        |
      | routes/0/name             | "\ud800"      | out-of-range   | routes[0] name                        |
      | routes/0/host             | "front"       | out-of-range   | routes[0] 'r1' host                   |
      | routes/0/host             | 7             | mistyped       | routes[0] 'r1' host                   |
      | routes/0/path-prefix      | "/0/"         | out-of-range   | routes[0] 'r1' path-prefix            |
      | routes/0/path-prefix      | "/65536/"     | out-of-range   | routes[0] 'r1' path-prefix            |
      | routes/0/path-prefix      | absent        | missing        | routes[0] 'r1' path-prefix            |
      | routes/0/kind             | "other"       | out-of-range   | routes[0] 'r1' kind                   |
      | routes/0/timeout-ms       | 0             | out-of-range   | routes[0] 'r1' timeout-ms             |
      | routes/0/timeout-ms       | 1e999         | out-of-range   | routes[0] 'r1' timeout-ms             |
      | routes/0/target-latency-ms | null         | mistyped       | routes[0] 'r1' target-latency-ms      |
      | routes/0/priority         | 1.5           | mistyped       | routes[0] 'r1' priority               |
      | routes/0/priority         | -1            | out-of-range   | routes[0] 'r1' priority               |
      | routes/0/priority         | 9 x 5000      | out-of-range   | routes[0] 'r1' priority               |
      | routes/0/service          | absent        | missing        | routes[0] 'r1' service                |
      | routes/0/max-attempts     | 0             | out-of-range   | routes[0] 'r1' max-attempts           |
      | routes/2/traffic-split    | "desk"        | mistyped       | routes[2] 'r3' traffic-split          |
      | routes/2/traffic-split/0/weight | -1      | out-of-range   | routes[2] 'r3' traffic-split[0] weight |
      | routes/2/traffic-split/0/service | absent | missing        | routes[2] 'r3' traffic-split[0] service |
      | services/0/max-conns      | 0             | out-of-range   | services[0] 'desk' max-conns          |
      | services/0/tls            | [1]           | mistyped       | services[0] 'desk' tls                |
      | services/0/cold-per-s     | "few"         | mistyped       | services[0] 'desk' cold-per-s         |
      | limits/idle-timeout-ms    | "long"        | mistyped       | limits idle-timeout-ms                |
      | limits/max-body-bytes     | 1e20          | mistyped       | limits max-body-bytes                 |
      | routes/0/unheard-of       | "\ud800"      | undecodable    | configuration                         |

    Examples: entries that do not fit together
      | field                     | value         | name                  | entry                          |
      | routes/1/name             | "r1"          | duplicate-name        | routes[1] 'r1' name            |
      | services/1/name           | "desk"        | duplicate-name        | services[1] 'desk' name        |
      | routes/2/traffic-split/0/service | "mail" | duplicate-name        | routes[2] 'r3' traffic-split[1] service |
      | routes/1/path-prefix      | "/443/"       | same-address          | routes[1] 'r2' path-prefix     |
      | routes/2/service          | "desk"        | service-and-split     | routes[2] 'r3' service         |
      | routes/2/traffic-split/0/weight | 0       | member-without-weight | routes[2] 'r3' traffic-split[0] weight |
      | routes/2/traffic-split    | [{"service": "mail", "weight": 0}] | split-without-weight | routes[2] 'r3' traffic-split |
      | routes/2/traffic-split    | [{"service": "desk", "weight": 1}] | unused-service | services[1] 'mail'    |
      | routes/0/service          | "dsek"        | undescribed-service   | routes[0] 'r1' service         |
      | services/0/health-path    | absent        | no-health-path        | services[0] 'desk' health-path |
      | routes/0/target-latency-ms | 2001         | latency-above-timeout | routes[0] 'r1' target-latency-ms |
      | routes/0/timeout-ms       | 15001         | timeout-above-idle    | routes[0] 'r1' timeout-ms      |
      | limits/header-timeout-ms  | 15001         | timeout-above-idle    | limits header-timeout-ms       |
      | limits/idle-timeout-ms    | 1999          | timeout-above-idle    | routes[0] 'r1' timeout-ms      |
      | routes/1/priority         | 2             | priority-without-effect | routes[0] 'r1' priority      |
      | services/0/cold-start-s   | absent        | cold-limits           | services[0] 'desk' cold-per-s  |
      | services/0/cold-start-s   | 0             | cold-limits           | services[0] 'desk' cold-per-s  |
      | services/0/cold-per-s     | absent        | cold-limits           | services[0] 'desk' cold-start-s |
      | services/0/cold-per-s     | -2            | cold-limits           | services[0] 'desk' cold-per-s  |

  Scenario Outline: What is allowed is no finding
    Given a good configuration
    And its <field> is <value>
    When it is checked
    Then the check ends with OK and finds nothing

    Examples:
      | field                 | value  |
      | limits                | absent |
      | services/0/cold-per-s | 0      |
      | routes/0/path-prefix  | "443"  |
      | routes/0/unheard-of   | 1      |
      | routes/0/timeout-ms   | 15000  |

  Scenario: A field that is stated twice is found
    Given the content {"config-version": 1, "config-version": 2, "routes": []}
    When it is checked
    Then the check ends with FAILED and finds repeated-field at configuration config-version

  Scenario Outline: Input that is no configuration is refused with one line
    Given the content <content>
    When it is checked from the command line
    Then it is refused as unreadable with <words>

    Examples:
      | content              | words                   |
      | nothing              | no JSON                 |
      | {"routes": [}        | line 1 column 13        |
      | 100000 brackets      | nested deeper           |
      | 40 brackets          | nested deeper           |
      | NaN                  | NaN                     |
      | binary               | codec                   |
      | a directory          | directory               |
      | no permission        | denied                  |
      | a null in the path   | null                    |
      | no file              | No such file            |

  # Guards against a trace, and against a clean check of what hosts refuse.
  Scenario: Any value at any place is survived
    Given a good configuration
    Then any value at any place gives findings, and hosts accept what has none

  # Guards against a trace for content that no operator would write on purpose.
  Scenario: Any bytes are survived
    Then any bytes as a file end with a status of 0, 1, or 2

  # Guards against one number that stops the service of all routes.
  Scenario: Hosts count a number beyond all floats as missing
    Given a good configuration
    And its routes/0/priority is 9 x 400
    Then hosts decode it with priority 0

  Scenario: Every check is documented
    Then docs/config-check.md lists each check, and no other

  Scenario: Differences are shown field by field and are no findings
    Given a good configuration
    And it is in force
    And its config-version is 6
    And its routes/0/timeout-ms is 2500
    And its routes/1/name is "r9"
    And its services/0/max-conns is absent
    And its limits/max-body-bytes is 1000
    When it is checked against the file in force
    Then the check ends with OK and finds nothing
    And the differences are
      | change  | entry           | field          |
      | changed | configuration   | config-version |
      | changed | limits          | max-body-bytes |
      | changed | route 'r1'      | timeout-ms     |
      | added   | route 'r9'      |                |
      | removed | route 'r2'      |                |
      | changed | service 'desk'  | max-conns      |

  Scenario: A version that is not higher has no effect
    Given a good configuration
    And it is in force
    When it is checked against the file in force
    Then the check ends with FAILED and finds version-not-higher at configuration config-version

  Scenario Outline: What is in force in the store is taken into account
    Given a good configuration
    And it is in force in a store with targets of desk and mail in d1 and d2
    And its config-version is 6
    And the store has <object>
    And its <field> is <value>
    When it is checked against the store
    Then the check ends with FAILED and finds <name> at <entry>
    And each kind is listed once and nothing is written

    Examples:
      | object                   | field          | value    | name                  | entry                |
      | a drain of desk          | routes         | [R3]     | dropped-route-with-overrides | route 'r1'    |
      | a drain of other         | config-version | 7        | override-without-route | configuration       |
      | an evacuation of d1, d2  | config-version | 7        | last-domain-evacuated | routes[0] 'r1' service |
      | only leaving targets     | config-version | 7        | no-targets            | services[0] 'desk'   |
      | no targets               | config-version | 7        | no-targets            | services[0] 'desk'   |
      | no readable version      | config-version | 7        | unreadable-in-force   | configuration        |
      | the same version         | config-version | 5        | version-not-higher    | configuration config-version |

  Scenario Outline: A store without such objects gives no findings
    Given a good configuration
    And it is in force in a store with targets of desk and mail in d1 and d2
    And its config-version is 6
    And the store has <object>
    When it is checked against the store
    Then the check ends with OK and finds nothing

    Examples:
      | object                  |
      | no evacuations          |
      | no kind evacuations     |
      | an evacuation of d1, d9 |
      | a released drain        |
      | no configuration        |
      | an unreadable target    |

  Scenario: A store that cannot be read is no finding
    Given a good configuration
    And it is in force in a store with targets of desk and mail in d1 and d2
    And the store has a failure
    When it is checked against the store
    Then the check ends with USAGE and finds nothing
