Feature: Configuration that never steps back
  Guards against a replica that takes an older object, half a sheet, or a removed
  object back, and against a host that stops following the platform.

  Scenario: A configuration object of an older version is ignored
    Given a configuration replica that holds version 3 of an override
    When a peer offers version 2 of it
    Then the configuration replica still holds version 3 and has counted a revert

  Scenario: A removed configuration object cannot come back from an older peer
    Given a configuration replica that missed removal, creation, and removal
    When it lists the platform and a peer offers the second creation
    Then the configuration object stays removed
    And creating the configuration object again brings it into force

  Scenario: An older peer learns a removal whose versions it never saw
    Given a configuration replica that missed removal, creation, and removal
    When it lists the platform and a peer with the second creation syncs from it
    Then the configuration object is removed at the peer

  Scenario Outline: A malformed configuration object is refused and logged once
    Given a configuration replica that holds version 3 of an override
    When version 4 of it is <fault> and arrives 3 times
    Then the configuration replica still holds version 3 and has refused one object
    And version 5 of the configuration object is taken over

    Examples:
      | fault     |
      | corrupt   |
      | oversized |

  Scenario: A configuration sheet comes into force with its last part
    Given a configuration replica with a sheet of several parts
    When the next manifest arrives before its parts
    Then the first configuration sheet stays in force until the last part is here

  Scenario: Configuration replicas agree after any order of delivery
    Given a random history of configuration objects
    When it reaches configuration replicas in parts, out of order, and through peers
    Then no configuration replica steps back and all agree with the platform

  Scenario: A configuration listing of a lagging store changes nothing
    Given a configuration platform and 2 hosts
    And an accepted configuration override
    When the platform answers from before the override and its watches end
    Then the configuration override stays in force on all hosts
    And later changes of the configuration arrive after the platform caught up

  @known_red
  Scenario: Changes of the configuration arrive after the platform's return from a copy
    Given a configuration platform and 2 hosts
    And an accepted configuration override
    When the platform returns from a copy that lacks later changes of the override
    And another configuration override is accepted after the return
    Then the other configuration override is in force on all hosts

  Scenario: Configuration arrives although watches stall and never close
    Given a configuration platform and 1 hosts
    When watches stall and a configuration override is accepted
    Then the configuration override comes into force on all hosts

  Scenario: Configuration arrives from a platform that flaps
    Given a configuration platform and 3 hosts
    When the platform refuses 3 of each 6 calls and 10 configuration overrides change
    Then all configuration hosts have what the platform holds

  Scenario: Configuration arrives from a platform that answers slowly
    Given a configuration platform and 2 hosts
    When each answer takes longer than the time limit of configuration writes
    Then the configuration override comes into force on all hosts
    And a configuration write is accepted once although its answer comes too late

  Scenario: A host that restarts during an outage takes the configuration from peers
    Given a configuration platform and 3 hosts
    And an accepted configuration override
    When the platform is down and a configuration host restarts beside an older peer
    Then the restarted configuration host has the override in force

  Scenario: A configuration change reaches hosts that are cut off from the platform
    Given a configuration platform and 4 hosts
    When 3 of them lose the platform and a configuration override is accepted
    Then the configuration override comes into force on all hosts

  Scenario: An unchanged configuration part is not read again
    Given a configuration platform and 1 hosts
    And a configuration sheet of many parts in force
    When one line changes and the configuration sheet is applied again
    Then the configuration host has read one more part
