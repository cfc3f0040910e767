Feature: Edge cases of placement under load
  Guards against refusals and resets that the load does not call for, and against values
  of documents and settings that stop the placement of new flows.

  Scenario: A service whose priorities become one is served without admission control
    Given a service with routes of the priorities 0 and 5
    And 0.9 requests per slot
    When a flow of priority 5 arrives
    Then the service is crowded
    When all its routes get the priority 5
    Then the service is not crowded

  Scenario: A route without weight for a service has no rank there
    Given a service with routes of the priorities 0 and 5
    And 4.4 requests per slot
    When the route of priority 0 sends no flow to the service
    Then none of 100 flows of priority 5 is refused

  Scenario: Flows that arrive together at a host with few flows are not refused
    Given a service with routes of the priorities 0 and 5
    And 0.2 requests per slot
    When flows of priority 5 arrive every 2 s for 60 s
    Then none of 4 flows of priority 5 that arrive together is refused

  Scenario: A duplicate of the first copy does not reset an open flow
    Given a service with routes of the priorities 0 and 5
    And 0.2 requests per slot
    When a flow of priority 5 opens
    And the load rises to 4.5 requests per slot
    And duplicates of its opening packet arrive
    Then no reset is sent

  Scenario Outline: An opening packet of an open flow does not reset it for want of targets
    Given a service with routes of the priorities 0 and 5
    When a flow of priority 5 opens
    And an evacuation leaves no target
    And copy <copy> of its opening packet arrives
    Then no reset is sent

    Examples:
      | copy |
      | 0    |
      | 1    |

  Scenario Outline: An opening packet that was held resets no flow that a copy has opened
    Given a service with routes of the priorities 0 and 5
    When an opening packet <problem> that was held is handled
    Then no reset is sent

    Examples:
      | problem           |
      | without a target  |
      | without a route   |

  Scenario Outline: A limit of cold targets that is too high for a float is no error
    Given a cold rate of <rate>, a factor of <factor>, and a slack of 5
    Then one host may open at least 1000000 flows to a cold target

    Examples:
      | rate  | factor |
      | 1e308 | 100    |

  Scenario: The choice of hosts is forgotten with the cold target
    # A removed target may get flows, and is cold, for 2 s: seven of those here.
    Given 4 hosts in two failure domains that have run for 12 s
    When 50 targets start and are removed one after the other
    Then no host keeps its choice for more than 8 of them

  Scenario Outline: Settings of new requirements that cannot be read count as missing
    Given settings with <field> set to <value>
    When the settings are decoded
    Then targets report every 1.2 s and evacuations are off

    Examples:
      | field        | value         |
      | contracts    | "packets"     |
      | contracts    | [1, "packets"] |
      | heartbeat-ms | "often"       |
      | heartbeat-ms | nan           |
      | heartbeat-ms | inf           |
      | heartbeat-ms | -1            |
