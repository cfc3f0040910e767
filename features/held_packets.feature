Feature: Packets that arrive while a host starts
  Guards against the loss of callers' packets between the start of a process and the
  moment at which it knows routes and targets.

  Scenario: Packets that wait are forwarded in their order
    Given packets are held
    When requests of 3 flows arrive 0.1 s apart
    Then the host gets the requests of the flows 1, 2, 3

  Scenario: Of the copies of an opening packet only the last opens a flow
    Given packets are held
    When an opening packet of flow 1 arrives, and its copies after 0.2 s and 0.6 s
    Then the host gets only the last copy

  Scenario: A request that was sent again runs through once
    Given packets are held
    When a request of flow 1 arrives, and again after 0.2 s
    Then the host gets the requests of the flows 1

  Scenario: Packets that callers have given up are dropped
    Given packets are held
    When requests of 3 flows arrive 0.5 s apart
    Then the host gets the requests of the flows 2, 3

  Scenario: A flood of packets does not fill the memory
    Given packets are held
    When requests of 3000 flows arrive 0 s apart
    Then the host gets 2000 packets

  Scenario: Malformed packets are not held
    Given packets are held
    When a packet of 3 bytes arrives
    Then the host gets 0 packets

  Scenario Outline: A caller that repeats an opening which was held is no sign of a dead target
    Given a forwarder with 3 targets
    When an opening packet arrives that <was> held, and 0.2 s later its copy
    Then <count> targets are suspect

    Examples:
      | was     | count |
      | was     | 0     |
      | was not | 1     |

  Scenario: Packets that came before the process read its settings are forwarded
    Given a socket that was bound early
    When 2 opening packets arrive before the process runs
    And it becomes ready after 0.2 s
    Then 2 packets were handled
