Feature: Configuration and targets on the users' platform
  Guards against a host that misses a change, steps back, or needs the store where a
  neighbour could help.

  Scenario: A listing over several pages
    Given a store with 7 targets
    When a host follows the store
    Then it knows 7 targets

  Scenario Outline: Entries of foreign writers name no target and harm no others
    Given a store with 2 targets
    And an entry <entry>
    When a host follows the store
    Then it knows 2 targets
    And what cannot be read is counted

    Examples:
      | entry                        |
      | without an address           |
      | with text for the slots      |
      | with an unknown state        |
      | whose name has no digits     |
      | that is a list               |
      | with a host name as address  |
      | with an address and more     |
      | that is nested too deep      |
      | with half a character        |
      | with a control character     |

  Scenario Outline: An entry that becomes unreadable names no target any more
    Given a store with 2 targets
    When a host follows the store
    And the first target's entry becomes <what>
    Then it knows 1 targets

    Examples:
      | what             |
      | unreadable       |
      | nested too deep  |

  Scenario Outline: Changes during a trouble of the store arrive after it
    Given a store with 2 targets
    When a host follows the store
    And the store <trouble> while a target is added and one is removed
    Then it knows the added target and not the removed one

    Examples:
      | trouble                        |
      | answers 503                    |
      | answers 429                    |
      | is silent                      |
      | forgets its history            |
      | breaks all connections         |

  Scenario: A target that restarts under its name
    Given a store with 1 targets
    When a host follows the store
    And the first target starts again at another address
    Then its flows go to the new address

  Scenario: Clients follow a source without calls to the store
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the store's calls are counted from now on
    And configuration 9 is written
    Then configuration 9 is in force on all hosts
    And one host alone has called the store

  Scenario: Hosts of a failure domain that start at once leave the store to few
    Given a store with 2 targets
    And 20 hosts of one failure domain that start at once
    When all of them are ready and 4 s have passed
    Then at most 4 hosts watch the store
    When configuration 9 is written
    Then configuration 9 is in force on all hosts

  Scenario Outline: A source that fails costs no change
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the source <failure>
    And configuration 9 is written
    Then configuration 9 is in force on the other hosts

    Examples:
      | failure     |
      | is killed   |
      | is frozen   |

  Scenario: A host that starts while the store is down gets all from a neighbour
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the store answers 503 from now on
    And a fourth host starts
    Then the fourth host is ready

  Scenario: SIGTERM
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the second host gets SIGTERM
    Then it is not ready at once
    And it forwards packets for a while
    And it exits with 0

  Scenario: Clients leave a source that stops before it has gone
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the first host gets SIGTERM
    Then the other hosts have left it before it closes their connections
    And configuration 9 reaches them

  Scenario: A bad settings file on reload
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the second host's settings become unreadable and it gets SIGHUP
    Then it logs settings_refused
    And it is still ready

  Scenario Outline: Wrong settings end the start with one line
    Given a settings file <fault>
    When a host starts with it
    Then it exits with 2 and one line with <text>

    Examples:
      | fault                     | text            |
      | without node              | node            |
      | with a number as zone     | zone            |
      | with a wrong address      | 10.1.0:1        |
      | with falling ports        | internal-ports  |
      | that is no TOML           | settings        |

  Scenario: Metrics are served as text
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    Then the second host's metrics contain basilgate_config_version

  Scenario: A source sends nothing to a client that has the same documents
    Given a store with 7 targets
    When a host follows the store
    And a host with the same documents follows it
    Then it gets signs of life and no documents
    When a host without documents follows it
    Then it gets all documents in fewer bytes than they have

  @known_red
  Scenario: A change is encoded once for all clients
    Given a store with 7 targets
    When a host follows the store
    And 10 hosts without documents follow it
    Then all of them get the documents, and each kind was encoded once
    When configuration 9 is written
    Then all of them get it, and it was encoded once

  Scenario Outline: Messages that are damaged end the connection only
    Given a store with 2 targets
    When a host follows the store
    And a client sends <bytes>
    Then the source closes that connection and serves another client

    Examples:
      | bytes               |
      | random bytes        |
      | a length of 4 GB    |
      | an inflated message |

  Scenario Outline: The store is silent for the source alone
    Given a store with 2 targets
    And two hosts of one failure domain and one of another, the first with <address>
    When the second host follows the first
    And the store falls silent for the first host
    And configuration 9 is written
    Then configuration 9 is in force on all hosts

    Examples:
      | address                  |
      | an address of its own    |
      | the second host's address |

  Scenario: A metrics port that is taken
    Given a store with 2 targets
    And something else listens on the first host's metrics port
    And three hosts of one failure domain
    When all hosts have the documents
    Then the first host logs metrics_unavailable

  Scenario: A settings file that changes without a signal
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the second host's settings change without a signal
    Then it logs settings_reloaded
    And it is still ready

  Scenario: Hosts miss no change after their settings name another address of the store
    Given a store with 2 targets
    And two hosts of one failure domain, both with an address of their own
    When the second host follows the first
    And the settings of both hosts name another address, and the first gets SIGHUP
    And the store falls silent for the first host
    And configuration 9 is written
    Then configuration 9 is in force on all hosts

  Scenario: A host that starts with an old listing hears what has changed since
    Given a store with 2 targets
    And the store's listings that may be old stay as they are now
    And a target is added, one is removed, and configuration 9 comes
    When a host follows the store
    Then it knows the added target and not the removed one
    And configuration 9 is in force there

  Scenario: A host that starts with a listing older than the history
    Given a store with 2 targets
    And the store's listings that may be old stay as they are now
    And a target is added, one is removed, and configuration 9 comes
    And the store forgets its history
    When a host follows the store
    Then it knows the added target and not the removed one
    And configuration 9 is in force there

  Scenario: A listing whose pages change while they are read
    Given a store with 7 targets
    And targets that change after each page of a listing
    When a host follows the store
    Then it knows the targets that the store has

  Scenario Outline: Hosts that the store turns away stay within its rates together
    Given a store with 2 targets
    When 20 hosts follow a store that answers <status> for 2 s
    Then 550 hosts would make less than 2000 calls a second

    Examples:
      | status |
      | 503    |
      | 429    |

  Scenario: A host that was suspended checks what it knows
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And the second host is suspended for 2 s while configuration 9 is written
    Then the second host notes the pause, and configuration 9 is in force on it

  Scenario: What an operator withdrew does not come back with a restart
    Given a store with 2 targets
    And the store's listings that may be old stay as they are now
    And configuration 9 comes and an override pulls the first target
    And the store answers no watches
    When a host follows the store
    Then configuration 9 and the override are in force as soon as it is ready

  Scenario: A host that has not read the overrides is not ready
    Given a store with 2 targets
    And the store refuses to list overrides
    When a host follows the store for 1 s
    Then it has the targets and the configuration and is not ready
    When the store lists overrides again
    Then the host becomes ready
