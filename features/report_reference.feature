Feature: Reference pages
  Guards against pages on metrics, reasons, and settings that no longer describe
  the code.

  Scenario: Each metric is described as it is registered
    When the reference page metrics.md is read
    Then the reference lists every metric with type and meaning

  Scenario: Each reason is described with its code and kind
    When the reference page reasons.md is read
    Then the reference lists every reason with code and kind

  Scenario: Each setting is described with its default
    When the reference page settings.md is read
    Then the reference lists every setting with unit and default

  Scenario: The protocol page describes the frames as they are encoded
    When the reference page protocol.md is read
    Then the reference has the fields, kinds, and limits of the code
    And each reference example has the bytes that the code makes of it

  Scenario: Each metric of the packet program is described
    When the reference page fleet-metrics.md is read
    Then the reference lists every metric of the packet program

  Scenario: Each event of the packet program is described
    When the reference page OPERATIONS.md is read
    Then the reference lists every event that the code logs
