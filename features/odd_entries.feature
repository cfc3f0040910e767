Feature: Entries of other writers
  Guards against an entry out of bounds that stops a process, stops its reading of the
  store, or attracts the flows of other targets.

  Scenario Outline: A number out of bounds makes an entry unreadable
    When a target's entry has <value> as its <field>
    Then the entry is refused, and the refusal names it

    Examples:
      | field             | value          |
      | slots             | 400 digits     |
      | slots             | 30 digits      |
      | slots             | 0              |
      | slots             | 2.5            |
      | born              | 400 digits     |
      | born              | 20 digits      |
      | born              | -1             |
      | seq               | 400 digits     |
      | seq               | -1             |
      | cold-remaining-ms | 400 digits     |
      | cold-remaining-ms | 30 digits      |
      | cold-remaining-ms | NaN            |
      | address           | port 99999     |
      | address           | port 0         |
      | address           | port ٣         |
      | address           | 100000 letters |

  Scenario Outline: A document out of bounds changes nothing
    When <kind> has <value> as its <field>
    Then the document is refused

    Examples:
      | kind            | field                   | value      |
      | an override     | weight                  | 400 digits |
      | an override     | weight                  | -1         |
      | an override     | expires_at_s            | -1         |
      | an override     | expires_at_s            | 30 digits  |
      | an override     | released_at_s           | -1         |
      | an override     | created_at_s            | 30 digits  |
      | a configuration | config-version          | 400 digits |
      | a configuration | config-version          | -1         |
      | a configuration | limits/idle-timeout-ms  | 30 digits  |
      | a configuration | limits/idle-timeout-ms  | -1         |
      | a configuration | routes/2/traffic-split/0/weight | 30 digits |
      | a configuration | routes/2/traffic-split/0/weight | -1 |
      | a configuration | routes/0/path-prefix    | port ٣     |
      | an object       | meta/rev                | 400 digits |
      | an object       | meta/rev                | -1         |
      | an object       | meta/name               | 100000 letters |
      | a listing       | as-of                   | 400 digits |
      | a watch         | as-of                   | -1         |

  Scenario: Any entry is refused or names a target that can be used
    Given a forwarder with 2 targets
    Then any entry is refused, or can be applied, chosen, merged, and passed on

  Scenario: Any document of another kind is refused or within bounds
    Then any document of another kind is refused or within bounds

  Scenario Outline: Settings out of bounds end the start with one line
    When the settings have <value> as <field>
    Then the settings are refused

    Examples:
      | field          | value      |
      | grace-s        | 400 digits |
      | grace-s        | 5000 digits |
      | grace-s        | nan        |
      | grace-s        | inf        |
      | grace-s        | -1         |
      | max-flow-s     | inf        |
      | max-flow-s     | -1         |
