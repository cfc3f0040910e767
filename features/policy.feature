Feature: Load policies
  Guards against head-of-line blocking, collapse under load, untrue refusals, and
  targets used or left out on misleading evidence.

  Scenario Outline: Stragglers leave a slot to short work
    Guards against long work that holds every slot of a target.
    Given a policy rig with 1 target
    When 30 short requests arrive behind 6 stragglers that are <known>
    Then all short requests are answered before the last straggler starts
    And the policy rig has told no untruth and used no slot twice

    Examples:
      | known    |
      | declared |
      | learned  |

  Scenario: Long work alone uses all slots
    Guards against a slot that stays empty where no short work comes.
    Given a policy rig with 1 target
    When 9 requests of declared long work arrive
    Then at most 3 requests ran at once, and 3 did

  Scenario: Long work is not starved by short work
    Guards against short work that always goes first.
    Given a policy rig with 1 target
    When long work waits while short work arrives at twice the capacity
    Then the long work is answered before its deadline

  Scenario Outline: A report does not draw the flows
    Guards against herding onto a target that claims to be idle.
    Given a policy rig with 7 targets at <hosts> hosts
    When one target claims to be idle and 70 flows open at once
    Then no target gets more than 2 flows above the mean

    Examples:
      | hosts |
      | 1     |
      | 3     |

  Scenario: A target with other work gets fewer flows
    Guards against a load report that is ignored altogether.
    Given a policy rig with 7 targets at 1 hosts
    When one target reports slots used by others and the rest run at half load
    Then that target gets the fewest flows

  Scenario Outline: A domain does not empty itself by suspicion
    Guards against a faulty observer that leaves no target in use.
    Given a policy rig with 7 targets at 3 hosts
    When <bad> targets look unhealthy
    Then <used> targets stay in use

    Examples:
      | bad | used |
      | 1   | 6    |
      | 3   | 4    |
      | 4   | 7    |
      | 7   | 7    |

  Scenario: Outcomes overrule probes
    Guards against a health endpoint that lies in either direction.
    Given a target health monitor
    When its probes fail while real requests succeed
    Then the monitor keeps the target as probe_overruled_by_outcomes
    When its probes succeed while real requests fail
    Then the monitor ejects the target as outcomes_failed

  Scenario: Flapping health is damped
    Guards against a target that changes between used and unused all the time.
    Given a target health monitor
    When its health changes every 3 s for 120 s
    Then the monitor reinstated it at most 5 times

  Scenario: A cold target ramps up
    Guards against a full share of flows for a target that has just started.
    Given a target health monitor
    When it is reinstated after an ejection
    Then its share of new flows rises from 0.1 to 1 over 10 s

  Scenario: A frozen target does not block other work
    Guards against idempotent requests that wait for a target without answers.
    Given a policy rig with 3 targets at 1 hosts
    When one target freezes while its flows send idempotent requests
    Then at most its slots' 3 requests are lost, and the target is ejected as frozen

  Scenario: A straggler does not make its target look frozen
    Guards against a target that is ejected for long work of unknown length.
    Given a policy rig with 2 targets at 1 hosts
    When one target runs a single straggler of 4 s, and later two beside short work
    Then the target was never ejected

  Scenario: Shedding targets are backed off
    Guards against a loop of requests between targets that shed them.
    Given a policy rig with 3 targets at 3 hosts
    When all targets shed while 300 idempotent requests arrive in 3 s
    Then at most 150 frames were sent to targets, and none ran
    And the policy rig has told no untruth and used no slot twice

  Scenario: Retries stay within their budget
    Guards against a storm of retries in an outage.
    Given a policy rig with 7 targets at 3 hosts
    When all targets lose their connections again and again
    Then at most a tenth of the requests were retried
    And no request that is not idempotent was started twice
    And the policy rig has told no untruth and used no slot twice

  Scenario: Without saved budget a request is not retried
    Guards against retries by a service that has hardly any requests.
    Given a policy rig with 3 targets at 1 hosts
    When the first request loses its connection
    Then it ends as unknown for retry_budget

  Scenario: A retried request is never reported as not run
    Guards against "not run" from the second target after a start at the first.
    Given a policy rig with 2 targets at 1 hosts
    When a started request is retried at a target that sheds it
    Then it ends as unknown for shed_by_target

  Scenario: The caller is led to the target of a retry
    Guards against answer pieces that a caller asks the wrong home for.
    Given a policy rig with 2 targets at 1 hosts
    When a started request is retried and answered
    Then its answer carries the token of the other target
    And another copy of it reaches the other target without a second start there

  Scenario: A handover keeps what is known of a request that was passed on
    Guards against a second run, or "not run", by the next home of the first target.
    Given a policy rig with 2 targets at 1 hosts
    When the first home of a retried request is handed over
    Then the new home neither runs nor refuses it, with the former home or without

  Scenario: A dead target is left out in time
    Guards against answers from before its death that keep a target in use.
    Given a target health monitor
    When it has answered 100 requests and then accepts no connection
    Then it is out of use after 2 failed probes

  Scenario: Requests that cannot be sent are refused at once
    Guards against requests that wait for a dead target until their deadline.
    Given a policy rig with 2 targets at 1 hosts
    When requests that are not idempotent arrive for a dead target
    Then they are all refused for target_unhealthy before their deadline

  Scenario: Cancellation reaches the queue
    Guards against a cancelled request that runs later.
    Given a policy rig with 1 target
    When a waiting request is cancelled
    Then it ends as refused for cancelled
    And it was never started

  Scenario: Cancellation reaches the target
    Guards against a cancelled request that keeps its slot.
    Given a policy rig with 1 target
    When a running request is cancelled
    Then it ends as unknown for cancelled_after_start
    And its slot is free

  Scenario: An unfair caller does not crowd out others
    Guards against a queue filled by one caller.
    Given a policy rig with 1 target
    When one caller sends ten times what each of 5 others does, at twice the capacity
    Then the others get at least 0.9 of an equal share of the answers
    And the greedy caller is refused for caller_share

  Scenario: A deadline that cannot be met is refused at once
    Guards against requests that wait only to fail.
    Given a policy rig with 1 target
    When a request arrives that the queue delays past its deadline
    Then it ends as refused for deadline_unreachable
    And it was refused without waiting
    And it was never started

  Scenario Outline: Goodput holds above the capacity
    Guards against a collapse under load.
    When the policy benchmark offers <load> times the capacity
    Then goodput is at least 0.95 of the capacity

    Examples:
      | load |
      | 1.2  |
      | 3.0  |

  Scenario: Latency is normal soon after a crest
    Guards against a queue that outlives the crest.
    When the policy benchmark runs a tenfold crest
    Then latency is normal 5 s after its end
    And the policy rig has told no untruth and used no slot twice

  Scenario: Opens go to a domain with room
    Guards against flows that stay at a full domain beside an idle one.
    Given a policy rig with domains a and b of 2 targets
    When domain a is full and 10 more flows open there
    Then at least 9 of them are placed in domain b

  Scenario: Declared classes go before learned ones
    Guards against a learner that overrules what a caller or a service declares.
    When the learner has seen requests of 900 bytes take 50 times as long
    Then undeclared requests of 900 bytes are long and of 30 bytes short
    And a declared class and a declared service are kept
