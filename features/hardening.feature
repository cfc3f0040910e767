Feature: Hardened inputs
  Guards against input that ends a task, passes without being counted, or changes
  state although it is forged, recorded, or from a host that is not a member.

  Scenario: Changed control messages never raise and never pass
    When control messages are cut, lengthened, or changed by hardening tests
    Then no changed message passes the hardened decoder

  Scenario: Any payload under a valid MAC is a message or is malformed
    When changed payloads are sealed with a valid MAC for hardening tests
    Then the hardened decoder returns a message or a reason

  Scenario: Any settings, objects, and metrics text is read or refused
    When random text goes to the hardened text decoders
    Then each hardened text decoder returns a value or one line

  Scenario: Every drop of a live balancer is counted and no task ends
    When a live balancer gets 3 batches of hostile input from seed 7
    Then the hardened balancer has counted drops for bad_mac, malformed, oversized, token_expired, token_forged, token_wrong_service, truncated

  Scenario Outline: An unexpected error drops one datagram
    When a live balancer's handling of the first datagram from <source> fails
    Then the hardened balancer opens a flow, and 1 error from <source> is counted

    Examples:
      | source  |
      | callers |
      | peers   |

  Scenario Outline: A message without authority is refused with a counted reason
    When a live balancer gets <message> in a hardening test
    Then the hardening test counts 1 drop for <reason>
    And the message left the hardened balancer's state unchanged

    Examples:
      | message                                | reason            |
      | a recorded heartbeat again             | duplicate         |
      | a heartbeat recorded for another host  | bad_mac           |
      | a heartbeat of a former incarnation    | stale_incarnation |
      | a heartbeat of a stranger              | unknown_peer      |
      | a newer incarnation from elsewhere     | unknown_peer      |
      | an echo from the future                | malformed         |
      | an old ping                            | stale             |
      | a handover of a stranger               | unknown_peer      |
      | a handover of a former incarnation     | unknown_peer      |
      | a recorded handover call               | bad_mac           |

  Scenario: A repeated handover is taken once
    When a hardened home gets one handover twice
    Then the hardened home loaded it once and accepted both copies

  Scenario: A host joins its view only once it has the configuration
    When the platform lists its objects to a hardened balancer only after a while
    Then the hardened balancer joined its view after the listing and not before

  Scenario Outline: A faulty answer of a target is not passed on
    When a target's answer to a hardened home <fault>
    Then the hardened home reports <reason> and closes the connection

    Examples:
      | fault                       | reason                 |
      | skips a piece               | target_connection_lost |
      | repeats a piece             | target_connection_lost |
      | changes its number of pieces | target_connection_lost |
      | is larger than allowed      | answer_too_large       |

  Scenario: A late second copy of an answer is not the next request's answer
    When a target sends a hardened home its answer twice, the second time during the next request
    Then each hardened request got its own answer

  Scenario Outline: Work stopped at its deadline does not count as cancelled
    When a target cancels <work> of a hardened home <cause>
    Then the hardened home reports the outcome <outcome>

    Examples:
      | work           | cause          | outcome                       |
      | started work   | for its caller | unknown:cancelled_after_start |
      | started work   | at its deadline | unknown:deadline_passed      |
      | unstarted work | for its caller | refused:cancelled             |
      | unstarted work | at its deadline | refused:deadline_passed      |

  Scenario: Answers that nobody fetches are evicted, the oldest first
    When a hardened balancer's answers exceed its buffer
    Then the hardened home has kept the newest, and reports answer_evicted for the oldest

  Scenario: A leaving host waits until its handover is taken
    When a hardened balancer's peer takes a handover only after a while
    Then the hardened balancer was not ready to stop before and was after

  Scenario Outline: Wrong settings end the start with one line
    When the hardened balancer starts with <change>
    Then the hardened start ends with status 2 and one line with <words>

    Examples:
      | change                          | words                                  |
      | [host] colour = red             | [host] colour: is not a known setting  |
      | [limts] flow_idle_s = 3         | [limts]: is not a known setting        |
      | [listen] peers = 127.0.0.1      | [listen] peers: Value error, expected  |
      | [listen] admin = host:80        | [listen] admin: Value error            |
      | [listen] admin = 127.0.0.1:x    | [listen] admin: Value error            |
      | [host] failure_domain           | [host] failure_domain: is missing      |
      | [peers] secret = xyz            | [peers] secret:                        |
      | [platform] url = nowhere        | [platform] url:                        |
      | [policies] placement = best     | [policies] placement: unknown          |
      | [policies] queueing = best      | [policies] queueing: unknown           |
      | [tls] ca = nofile               | [tls]                                  |
      | no file                         | cannot read settings: No such file     |
      | a file that is not text         | cannot read settings: not UTF-8        |

  Scenario Outline: TLS admits only peers with a certificate of the CA
    When a peer with <credentials> calls a hardened balancer that serves TLS
    Then its call has <result>, its admin request has <result>, and the hardened count is <reason>

    Examples:
      | credentials                | result    | reason              |
      | a certificate of the CA    | an answer | none                |
      | no certificate             | no answer | tls_no_certificate  |
      | a certificate of another CA | no answer | tls_bad_certificate |
      | no TLS                     | no answer | tls_failed          |

  Scenario: Wrong TLS files end the start with one line
    When the hardened balancer starts with a TLS key that is not a key
    Then the hardened start ends with status 2 and one line with [tls] certificate, key: cannot use

  Scenario Outline: Health tells whether a host serves
    When a hardened balancer <state>
    Then its health answer is <status> because of <check>

    Examples:
      | state                    | status | check      |
      | serves                   | 200    | nothing    |
      | is leaving               | 503    | staying    |
      | was removed from its view | 503   | member     |
      | has lost its keys        | 503    | configured |
      | had a slow event loop    | 503    | loop_alive |

  Scenario Outline: Content that cannot be used is refused and raises nothing
    When <content> reaches the hardened decoder of <place>
    Then the hardened decoder refuses it

    Examples:
      | content                | place                |
      | JSON nested too deep   | a platform's answer  |
      | JSON nested too deep   | a peer's object      |
      | a value nested deep    | an object            |
      | JSON nested too deep   | a target's load      |
      | a load without bound   | a target's load      |
      | a load of 400 digits   | a target's load      |
      | a negative load        | a target's load      |
