Feature: Experiments
  Guards against a checker that overlooks a broken invariant, an experiment that
  cannot be repeated, and a caller that asks for answer pieces too often or too late.

  Scenario Outline: The outside checker finds a planted violation
    Given a run without violations was seen
    When <what> is planted in the run
    Then the checker reports only <line>

    Examples:
      | what                                      | line                |
      | a last request without an answer          | flow_broken         |
      | a start at another target of the service  | flow_broken         |
      | an unknown outcome without a fault        | request_cut         |
      | a home_changed 83 s after a kill          | request_cut         |
      | a failed open without a fault             | open_failed         |
      | a start at a target of another service    | wrong_service       |
      | an answer to another request              | wrong_answer        |
      | a started request reported as not run     | false_not_run       |
      | a second start of a reservation           | run_twice           |
      | a new flow 4 s after a drain              | leaving_target_used |
      | a planned stop with status 1              | unclean_stop        |
      | a balancer that goes back a revision      | config_reverted     |
      | a balancer without an override after 4 s  | config_late         |
      | a running balancer outside the view       | not_member          |
      | a fourth request in flight                | too_many_in_flight  |

  Scenario: A run without violations is reported as clean
    Given a run without violations was seen
    Then the checker reports nothing

  Scenario: A request whose records died with its home may have an unknown outcome
    Given a run without violations was seen
    When a home_changed 53 s after a kill is planted in the run
    Then the checker reports nothing

  Scenario: A seed gives the same faults again
    When the faults of seed 7 are scheduled twice for 300 s
    Then both fault schedules are equal and hold every kind of fault

  Scenario Outline: A long answer is pulled with few packets
    When an answer of 1667 pieces is pulled while <loss> of 100 packets are lost
    Then the caller has the whole long answer
    And it sent at most <packets> packets and was sent at most <pieces> pieces

    Examples:
      | loss | packets | pieces |
      | 0    | 70      | 1667   |
      | 5    | 400     | 2500   |

  Scenario: A cut network loses every datagram in both directions
    When a faulty host sends to and hears from a cut prefix and another one
    Then only the datagrams of the other prefix pass

  Scenario Outline: A signal ends an experiment and all its processes
    Given an experiment with a balancer, a target, and the platform
    When the experiment gets <signal>
    Then it ends with status 130 and none of its processes is left

    Examples:
      | signal  |
      | SIGINT  |
      | SIGTERM |

  @soak
  Scenario: A short soak with a fixed seed breaks no invariant
    When eight balancers in three domains are soaked for 12 s with seed 11
    Then no invariant that is judged by counts is broken
    And at least 200 requests were answered

  Scenario: Callers back off while nothing answers their opens
    When a caller opens a flow for 6 s and nothing answers
    Then it sent 9 copies and has no reply
