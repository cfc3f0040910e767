Feature: Configuration commands and running balancers
  Guards against commands that work only in the tests' own process, and against a
  balancer that does not bring into force what its replica holds.

  Scenario: Commands and queries against running balancers
    Given running balancers for configuration commands
    When the command line pulls and drains targets and waits
    Then it says that the configuration is in force on 3 of 3 balancers
    And the configuration queries explain the pull and list the drain
    And a running balancer ends a configuration override on its own
    And after a balancer is killed the configuration command names it
    And a balancer restarted in an outage has the same configuration in force
