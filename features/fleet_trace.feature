Feature: From a failed flow to its cause
  Guards against logs that lack a line which on-call engineers need; docs/OPERATIONS.md
  shows the same three paths.

  Scenario: A flow that met a dead target
    Given a forwarder with 3 targets and two flows at the first, others busy
    When both flows repeat their requests twice without a reply
    Then the trace of 100.64.0.7:2001>198.18.0.1:443 says target_gone
    And it shows target_suspected, target_lost, flow_reset

  Scenario Outline: The reset of an open flow shows the evidence and its age
    Given a forwarder with 3 targets and two flows at the first, others busy
    When <evidence>
    Then the trace of 100.64.0.7:2001>198.18.0.1:443 says target_gone
    And the line of <event> has <keys>

    Examples:
      | evidence                                              | event                    | keys                                                      |
      | both flows repeat their requests twice without a reply | target_suspected         | run=1, evidence_s=, quiet_s=never                          |
      | both flows repeat their requests twice without a reply | target_lost              | run=1, quiet_s=never                                       |
      | both flows repeat their requests twice without a reply | flow_reset               | run=1, idle_s=, proof=packets_without_reply, proof_s=0, proof_run=1, quiet_s=never |
      | a neighbour's proof and a repetition reset them        | target_lost_at_neighbour | neighbour=h2, run=1, quiet_s=never                         |

  Scenario: The refusal of an opening packet shows which copy it was
    Given a forwarder with 0 targets
    When a flow opens
    Then the trace of 100.64.0.7:2000>198.18.0.1:443 says not_found
    And the line of flow_reset has copy=0

  Scenario: A flow whose target a trial connection found gone
    Given a forwarder with 3 targets and two flows at the first
    When the hosts of its failure domain are heard
    And an opening at the first target is not continued
    And the trial connection that follows is refused
    Then the trace of 100.64.0.7:2001>198.18.0.1:443 says target_gone
    And it shows target_suspected, target_tried, target_lost, flow_reset

  Scenario: A flow whose first target did not reply to its opening
    Given a forwarder with 3 targets
    When a flow opens and its opening packet comes 2 times more
    Then the trace of 100.64.0.7:2000>198.18.0.1:443 says target_gone
    And it shows flow_placed, target_suspected

  Scenario: A flow handled under an old configuration
    Given a forwarder with 3 targets
    And another host that has had configuration 9 for 5 s
    When a flow opens
    Then the trace of 100.64.0.7:2000>198.18.0.1:443 says old_configuration
    And it shows configuration_in_force, store_lost, flow_placed

  Scenario: A flow whose host was lost
    Given a store with 2 targets
    And three hosts of one failure domain
    When a flow opens at the second host
    And the second host is killed and starts again
    Then the trace of that flow says host_lost
    And it shows flow_placed, started

  Scenario: A flow to an address without a route
    Given a forwarder with 3 targets
    When an opening packet to an address without route arrives
    Then the trace of 100.64.0.7:2000>198.18.0.1:444 says no_route

  Scenario Outline: A log with odd lines does not hang a trace
    Given a log of 200000 bytes that repeats <text>
    Then it is traced within 1 s of processor time

    Examples:
      | text                |
      | a key without value |
      | an open quote       |
      | lines of one flow   |

  Scenario: A flow that no log names
    Given a forwarder with 3 targets
    Then the trace of 100.64.0.9:1>198.18.0.1:443 says unknown_flow

  Scenario: Log lines beyond the ceiling are left out and counted
    Given an event log
    When 1000 events are written at once
    Then at most 400 lines are written
    And a later line tells how many were left out

  Scenario: A full pipe delays nothing
    Given an event log whose reader has stopped
    When 1000 events are written slowly
    Then lines are left out and counted
