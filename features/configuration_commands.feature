Feature: Operators' commands for the configuration
  Guards against a command that claims what the platform did not accept, undoes a
  colleague's change, or brings half a sheet into force.

  Scenario: A configuration write whose answer was lost is settled
    Given a configuration platform for commands
    When an operator changes a configuration object and the answer is lost
    Then the configuration write is reported as accepted and took effect once

  Scenario: A configuration write that was lost is repeated under its condition
    Given a configuration platform for commands
    When an operator changes a configuration object and the write is lost
    Then the configuration write is reported as accepted and took effect once

  Scenario: A lost creation never brings back what a colleague removed
    Given a configuration platform for commands
    When a configuration override is created, its answer lost, and a colleague removes it
    Then it is unknown whether the configuration write was accepted
    And the configuration override stays removed

  Scenario: A lost write never undoes a colleague's later configuration write
    Given a configuration platform for commands
    When a configuration write's answer is lost and a colleague writes after it
    Then it is unknown whether the configuration write was accepted
    And the colleague's configuration write stays

  Scenario: A settled configuration write ignores reads that lag behind
    Given a configuration platform for commands
    When a configuration write's answer is lost while reads lag behind
    Then it is unknown whether the configuration write was accepted
    And the configuration write took effect once

  Scenario: Of two racing configuration overrides one wins and one conflicts
    Given a configuration platform for commands
    And an applied configuration sheet
    When 2 operators override the same configuration target at once
    Then the configuration commands end with exit codes 0 and 3
    And the configuration conflict names the winner's override or version

  Scenario: A configuration override over a colleague's needs its id
    Given a configuration platform for commands
    And an applied configuration sheet
    When an operator overrides a configuration target that a colleague has pulled
    Then the configuration command ends with exit code 3 and names the colleague
    And it is accepted with the id of the colleague's configuration override

  Scenario: A configuration sheet over an override leaves it in force and says so
    Given a configuration platform for commands
    And an applied configuration sheet
    When a configuration override and a sheet for the same target race
    Then both configuration changes are accepted and the override is in force
    And planning the configuration sheet names the override, its operator, and reason

  Scenario: A wrong configuration sheet is refused as a whole
    Given a configuration platform for commands
    When a configuration sheet with 6 faults is applied
    Then each configuration fault is reported with its line and nothing is written

  Scenario: A configuration sheet in CSV says the same as in INI
    Given a configuration sheet in CSV with repeated service columns
    Then it has the configuration that the INI sheet has
    And a conflicting configuration column is reported with its line

  Scenario: Any text is a configuration sheet or a list of problems
    When random texts are read as configuration sheets
    Then each result is a configuration sheet or problems with line numbers

  Scenario: Configuration sheets applied at once leave one whole sheet
    Given a configuration platform for commands
    When 30 rounds of 3 operators apply different configuration sheets at once
    Then in each round one configuration sheet is accepted and every part is there

  Scenario: A clean-up spares the parts of a configuration sheet about to be applied
    Given a configuration platform for commands
    And two applied configuration sheets
    When colleagues clean up between the parts and the manifest of the first one
    Then the configuration sheet is accepted and every part is there

  Scenario Outline: A configuration change is claimed only if it was accepted
    Given a configuration platform for commands
    And an applied configuration sheet
    When the platform <fault> and an operator sets a configuration override
    Then the configuration command ends with exit code <code>

    Examples:
      | fault                 | code |
      | is down               | 4    |
      | loses every answer    | 5    |

  Scenario: An override of an unknown configuration target is refused
    Given a configuration platform for commands
    And an applied configuration sheet
    Then configuration overrides of an unknown service and target end with code 9
    And no configuration override is stored

  Scenario: Removing a configuration override needs the version that was read
    Given a configuration platform for commands
    And an applied configuration sheet
    When an operator removes a configuration override with an older version
    Then the configuration command ends with exit code 3 and the override stays

  Scenario: An expired configuration override gives way to the one before it
    Given a configuration platform for commands
    And an applied configuration sheet
    When a configuration override with an end is set over a pull
    Then the configuration pull is in force again from the end on

  Scenario: The order of configuration overrides does not depend on clocks
    Given a configuration platform for commands
    And an applied configuration sheet
    When the later of two configuration overrides has the earlier creation time
    Then the later accepted configuration override is in force on every node

  Scenario: Waiting names the hosts that do not have the configuration
    Given a configuration platform for commands
    And 3 configuration hosts of which one is cut off and one does not answer
    When an operator sets a configuration override and waits
    Then it is in force on 1 of 3 configuration hosts and the others are named

  Scenario: A new configuration key signs once every host has had time to get it
    Given configuration keys of which the newest was created 10 s ago
    Then the former configuration key signs until 30 s have passed

  Scenario: A configuration key is removed once its last token has expired
    Given a configuration platform for commands
    And configuration keys 254 and 255 created 3 and 2 days ago
    When an operator rotates the configuration key
    Then configuration key 0 is new, 254 is removed, and 255 is kept

  Scenario: A wrong command line ends with the exit code for usage
    Then these configuration command lines end with exit code 2
      | arguments                                                    |
      | sheet                                                        |
      | sheet nonsense                                               |
      | override set pull desk-0 t0 ana                              |
      | override set shove desk-0 t0 ana why                         |
      | override set weight desk-0 t0 ana why                        |
      | override set pull desk-0 t0 ana why --expires 2001-01-01     |
      | sheet apply /dev/null x ana                                  |
      | status --output xml                                          |
      | status                                                       |
