Feature: A configuration is checked against a store over the network
  Guards against a command whose calls, options, or exit status differ from those that the
  checks are tested with.

  Background:
    Given a store with 2 targets
    And a good configuration
    And its config-version is 6
    And its routes/2/traffic-split is [{"service": "desk", "weight": 1}]
    And its services/1 is absent

  Scenario: A configuration without findings
    When fleet check is called against the store
    Then the command ends with OK and names differences from the version in force
    And the store was asked for 4 kinds, and nothing was written

  Scenario: Findings
    Given its config-version is 5
    When fleet check is called against the store
    Then the command ends with FAILED and names version-not-higher

  Scenario: The store fails
    Given the store answers 503 for operators
    When fleet check is called against the store
    Then the command ends with USAGE and names cannot read the store

  Scenario: The store's address is unknown
    When fleet check is called against the store at nowhere
    Then the command ends with USAGE and names --store ADDRESS
