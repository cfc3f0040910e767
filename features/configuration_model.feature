Feature: What a forwarder reads of the platform's configuration and settings
  Guards against a limit that cannot be read and stops the service of all routes.

  Scenario: Priorities, latency objectives, and limits of cold targets are read
    Given a configuration with priority 2, latency objective 450, and cold rate 4
    When it is decoded
    Then the route has priority 2 and a latency objective of 0.45 s
    And a cold target of its service bears 4 requests a second

  Scenario Outline: A limit that cannot be read counts as missing
    Given a configuration with priority <value>, latency objective <value>, and cold rate <value>
    When it is decoded
    Then the route has priority 0 and a latency objective of 0 s
    And it is not known what a cold target of its service bears

    Examples:
      | value  |
      | "high" |
      | null   |
      | -1     |
      | true   |
      | [3]    |

  Scenario Outline: Evacuations and cold limits follow from the settings
    Given settings with the contracts <contracts> and cold slack <slack>
    When the settings are decoded
    Then evacuations are <state> and the cold slack is <decoded>

    Examples:
      | contracts | slack | decoded | state    |
      | places    | 5     | 5.0     | followed |
      | drain     | 5     | 5.0     | ignored  |
      | places    | "few" | None    | followed |
