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

  Scenario Outline: A name that is not that of a target has no number
    Then the name "<name>" has <number>

    Examples:
      | name                | number         |
      | i-ea77e70fef        | 0xea77e70fef   |
      | 0000000a            | 0xa            |
      | srv-0a              | 0xa            |
      | a-0b                | 0xb            |
      | i-0a-0b             | 0xa0b          |
      | odd-entry           | no number      |
      | i-xyz               | no number      |
      | i-1 2               | no number      |
      | i-1,2               | no number      |
      | i-٣                 | no number      |
      | i-                  | no number      |
      | feed                | 0xfeed         |
      | i-12345678123456781 | no number      |

  Scenario Outline: An entry of another writer takes no token of a known target
    Given a forwarder with a target i-500000004 that has an open flow
    When an entry <name> appears that has its token
    Then packets of the flow still reach i-500000004
    And the entry <name> gets no new flows
    When the target i-500000004 is removed
    Then packets of the flow still reach i-500000004
    When flows as old as that have ended
    Then the entry <name> gets new flows

    Examples:
      | name        |
      | i-1         |
      | i-00000001  |
      | i-900000008 |

  Scenario Outline: All hosts that start give a shared token to one target
    Given a forwarder with a configuration and no list of targets
    When it lists <first> and <second> with one token
    Then packets with this token reach <holder>

    Examples:
      | first                  | second                 | holder      |
      | i-500000004 born 7     | i-1 born 8             | i-500000004 |
      | i-1 born 8             | i-500000004 born 7     | i-500000004 |
      | i-500000004 born 7     | i-1 born 0             | i-500000004 |
      | i-1 born 0             | i-500000004 born 7     | i-500000004 |
      | i-1 born 7             | i-500000004 born 7     | i-1         |
      | i-500000004 born 7     | i-1 born 7             | i-1         |

  Scenario Outline: One unreadable entry does not make a page slow to read
    Given a <page> of 3000 entries, one of them <fault>
    Then all 3000 are split, in at most <count> steps for each

    Examples:
      | page    | fault                   | count |
      | listing | with a control character | 5    |
      | listing | nested 100000 levels deep | 5   |
      | watch   | with a control character | 5    |
      | watch   | nested 100000 levels deep | 5   |

  Scenario Outline: A torn entry that is large does not hang the reading of a response
    Given a <page> with an entry of <size> bytes that ends with <what>
    Then the page is read in the time that a host has for a response

    Examples:
      | page    | size    | what                          |
      | listing | 1048576 | blanks                        |
      | watch   | 1048576 | blanks                        |
      | listing | 1048576 | escaped quotes                |
      | watch   | 1048576 | escaped quotes                |
      | listing | 1048576 | objects that begin in strings |
      | watch   | 1048576 | events that begin in strings  |
      | listing | 1048576 | open arrays                   |
      | watch   | 1048576 | arrays of five levels         |
      | listing | 262144  | objects that are too short    |
      | listing | 1048576 | nested objects around damage  |

  Scenario: Torn entries take time in proportion to their length, whatever they repeat
    Then no torn entry of 30000 bytes takes as long as a host has for a MiB

  Scenario: A listing of many short pages does not take longer with each page
    Given a store that lists 6000 targets in pages of one
    Then all 6000 are listed in the time that a host has for a response

  Scenario Outline: An entry whose brackets or quotes do not match hides no others
    Given a <page> of 300 entries, one of them <fault>
    Then the 299 others are read, and the odd one is unreadable by its name

    Examples:
      | page    | fault                         |
      | listing | opening 100000 arrays         |
      | watch   | opening 100000 arrays         |
      | watch with the object first | opening 100000 arrays         |
      | listing | closing 100000 arrays         |
      | watch   | closing 100000 arrays         |
      | listing | opening a string              |
      | watch   | opening a string              |
      | watch with the object first | opening a string              |

  Scenario Outline: Members that follow the entries of a page hide none beside an odd one
    Given a <page> of 300 entries, one of them with a control character
    And it ends with <members>
    Then the 299 others are read, and the odd one is unreadable by its name

    Examples:
      | page    | members                                  |
      | listing | "took": 1.5, "cursor": "a,b"             |
      | watch   | "cursor": "a]b"                          |
      | listing | "counts": {"read": [1, 2]}, "last": null |

  Scenario: No bytes of one entry hide others
    Then whatever bytes one entry of a page has, the others are read

  Scenario: No bytes of three entries hide others that contain similar objects
    Then whatever bytes three entries of a page have, the others are read

  Scenario: Entries that were cut hide no others
    Then wherever two entries of a page are cut, at either end, the others are read

  Scenario Outline: A report with a number out of bounds is malformed
    When a peer's report has <value> as <field>
    Then the report is malformed

    Examples:
      | field                | value          |
      | the start            | -1             |
      | the start            | 63 bits        |
      | the version          | -1             |
      | the version          | 64 bits        |
      | the newest target    | -1             |
      | the newest target    | 64 bits        |
      | the newest evacuation | -1            |
      | the newest evacuation | 64 bits       |
      | the era              | -1             |
      | the era              | 63 bits        |
      | a load's token       | -1             |
      | a load's token       | 64 bits        |
      | a load's flows       | -1             |
      | a load's flows       | 64 bits        |
      | a load's requests    | NaN            |
      | a load's requests    | -0.5           |
      | a suspect            | 64 bits        |
      | an unreachable target | -1            |
      | the host             | 2000 letters   |
      | the failure domain   | 2000 letters   |

  Scenario Outline: A relayed message with a number out of bounds is malformed
    When a relayed message has <value> as <field>
    Then the message is malformed

    Examples:
      | field                   | value        |
      | the revision            | -1           |
      | the revision            | 64 bits      |
      | a document's revision   | -1           |
      | a document's revision   | 64 bits      |
      | a document's name       | 2000 letters |
      | the era                 | -2           |
      | the era                 | 63 bits      |
      | a confirmed era         | 63 bits      |
      | a confirmed revision    | 64 bits      |
      | an unstored revision    | -1           |
      | the time of a hold      | NaN          |
      | the time of a hold      | Infinity     |
      | the time of a hold      | -1           |
      | the revision of a hold  | -1           |
      | a sent revision         | 64 bits      |
      | a digest                | -1           |
      | a digest                | 64 bits      |
      | the host                | 2000 letters |

  Scenario: Any report is malformed or can be used
    Given a host with neighbours
    Then any report is malformed, or its loads can be added up

  Scenario: Any relayed message is malformed or can be applied
    Then any relayed message is malformed, or can be applied

  Scenario Outline: Commands show the sound entries and name the unreadable ones
    Given a store with 2 targets
    And odd entries and odd overrides beside them
    When basilgate is called with fleet <command>
    Then the command ends with <code> and names <sound>
    And it names what cannot be read in lines of ordinary length

    Examples:
      | command              | code      | sound                |
      | targets              | OK        | i-00000002           |
      | targets desk         | OK        | i-00000001           |
      | routes               | OK        | configuration 5      |
      | evacuations          | OK        | DOMAIN               |

  Scenario Outline: Commands about one entry say what cannot be read of it
    Given a store with 2 targets
    And odd entries and odd overrides beside them
    When basilgate is called with fleet <command>
    Then the command ends with <code> and names <what>

    Examples:
      | command                                   | code      | what                 |
      | explain i-00000001                        | OK        | new flows: yes       |
      | explain i-000000ab                        | NOT_FOUND | target 'i-000000ab': Expected |
      | override i-000000ab pull --operator Ana   | NOT_FOUND | target 'i-000000ab': Expected |
      | override i-00000001 pull --operator Ana   | OK        | accepted             |
      | overrides                                 | OK        | override 'i-00000002': Expected |
      | override i-00000002 pull --operator Ana   | CONFLICT  | override 'i-00000002': Expected |

  Scenario: An unreadable configuration is named, and targets are shown
    Given a store with 2 targets
    And a configuration in the store that is nested too deep
    When basilgate is called with fleet routes
    Then the command ends with NOT_FOUND and names unreadable: configuration
    When basilgate is called with fleet targets
    Then the command ends with OK and names i-00000002

  Scenario: The check of a configuration names what it cannot read in the store
    Given a store with 2 targets
    And a good configuration
    And its config-version is 6
    And its routes/2/traffic-split is [{"service": "desk", "weight": 1}]
    And its services/1 is absent
    And odd entries and odd overrides beside them
    When fleet check is called against the store
    Then the command ends with OK and names differences from the version in force
    And it names what cannot be read in lines of ordinary length

  Scenario Outline: Numbers out of bounds are refused as arguments
    Given a store with 2 targets
    When basilgate is called with fleet <arguments>
    Then it ends with USAGE

    Examples:
      | arguments                                                     |
      | override i-00000001 weight --weight 1e400 --operator Ana      |
      | override i-00000001 weight --weight 1e30 --operator Ana       |
      | override i-00000001 pull --expires 99999999999d --operator Ana |
      | release i-00000001 9999999999.5                               |
      | release i-00000001 99999999999999999999                       |
      | release i-00000001 ٣                                          |

  Scenario Outline: A log line that was cut or changed does not end a trace
    Given a forwarder with 3 targets
    When a flow opens
    And a log line says <line>
    Then the trace of 100.64.0.7:2000>198.18.0.1:443 says not_found

    Examples:
      | line                                              |
      | event=configuration_in_force host=h2              |
      | event=configuration_in_force host=h2 version=nine |
      | event=configuration_in_force host=h2 version=٣    |

  Scenario Outline: Hosts follow the store past an odd entry
    Given a store with 2 targets
    And three hosts of one failure domain
    When all hosts have the documents
    And an odd entry is written, <entry>
    Then all hosts know 2 targets and say that the entry is unreadable
    When configuration 9 is written
    And a target is added beside the odd entry
    Then all hosts know 3 targets and configuration 9
    When the odd entry changes and then becomes sound
    Then all hosts know 4 targets and configuration 9
    When the entry becomes odd again, <entry>
    And a fourth host starts
    Then all hosts know 3 targets and configuration 9
    And no host has ended

    Examples:
      | entry                     |
      | nested 100000 levels deep |
      | opening 100000 arrays     |
      | torn before 400000 blanks |
      | with slots of 400 digits  |
      | with a port out of range  |

  Scenario Outline: Hosts that start take a list with an odd entry
    Given a store with 2 targets
    And an odd entry is written, <entry>
    And three hosts of one failure domain
    When the store answers 503 from now on
    And a fourth host starts
    Then all hosts know 2 targets and configuration 5
    And no host has ended

    Examples:
      | entry                     |
      | nested 100000 levels deep |
      | opening 100000 arrays     |
      | torn before 400000 blanks |
      | with slots of 400 digits  |
      | with a port out of range  |

  Scenario Outline: An odd object of the balancers' platform hides no others
    Given a configuration replica that holds version 3 of an override
    When the platform lists version 4 of it with <content> and another override
    Then the replica has the other override and keeps version 3 of the first
    And the refusal is counted once and names the object

    Examples:
      | content                     |
      | a list                      |
      | text                        |
      | a number                    |
      | 100000 levels               |
      | a number of 400 digits      |
      | a number of 5000 digits     |
      | a control character         |
      | half a character            |
      | infinity                    |

  Scenario Outline: An odd object that is read alone is refused by its name
    Given a configuration replica that holds version 3 of an override
    When the platform answers a read with version 4 of it and <content>
    Then the replica keeps version 3 alone
    And the refusal is counted once and names the object

    Examples:
      | content                     |
      | a list                      |
      | 100000 levels               |
      | a number of 5000 digits     |

  Scenario Outline: A revision out of bounds makes an answer of the platform invalid
    When the platform answers with the revision <revision>
    Then the answer is invalid

    Examples:
      | revision |
      | Infinity |
      | NaN      |
      | -1       |
      | 1e400    |
      | "5"      |
      | 36893488147419103232 |
