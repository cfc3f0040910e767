Feature: Forwarding on the users' platform
  Guards against packets that reach another target than their flow's, flows that are
  reset while their target lives, and new flows at targets that must not get any.

  Scenario: Any bytes are forwarded, reset, or dropped with a reason
    Given a forwarder with 3 targets
    When random packets arrive
    Then each datagram sent carries a packet of a caller or is a reset

  Scenario: A host that has just started finds the target of an old flow
    Given a forwarder with 3 targets
    When a flow opens
    And another forwarder takes the flow's next packet
    Then the packet goes to the flow's target under its number

  Scenario: A copy of an opening packet goes to another target
    Given a forwarder with 3 targets
    When a flow opens and its opening packet comes 2 times more
    Then 3 targets were tried

  Scenario Outline: A copy of an opening packet that comes late opens nothing
    Given a forwarder with 3 targets
    When a flow opens and goes on, and copy <copy> of its opening packet arrives
    Then nothing is sent
    And 1 packet is dropped as duplicate
    And no target is suspect after 0.11 s
    And the flow is still at its target

    Examples:
      | copy |
      | 0    |
      | 1    |

  Scenario: A packet with an unknown token is dropped
    Given a forwarder with 3 targets
    When a packet with an unknown token arrives
    Then nothing is sent
    And 1 packet is dropped as token_unknown_key

  Scenario: Nothing is refused before the targets are known
    Given a forwarder with a configuration and no list of targets
    When a flow opens
    Then nothing is sent

  Scenario Outline: Addresses without a route
    Given a forwarder with 3 targets
    When <packet> arrives
    Then <result>

    Examples:
      | packet                                       | result              |
      | an opening packet to an address without route | the flow is reset   |
      | a packet of a known flow whose route was removed | the flow is reset |
      | a packet of an unknown flow whose route was removed | nothing is sent |
      | a later packet to an address without route    | nothing is sent     |
      | a reset to an address without route           | nothing is sent     |
      | a packet that accepts a flow                  | nothing is sent     |

  Scenario: A service without targets is refused at once
    Given a forwarder with 0 targets
    When a flow opens
    Then the flow is reset

  Scenario: A leaving target keeps its flows and gets no new ones
    Given a forwarder with 3 targets
    When a flow opens
    And the flow's target leaves
    And 30 more flows open
    Then no new flow is at that target
    And the flow's next packet goes to that target

  Scenario: A target whose entry lapsed gets new flows for a short time only
    Given a forwarder with 1 targets
    When the entry of that target vanishes
    And 1.9 s pass
    Then new flows open there
    When 0.2 s pass
    Then new flows are reset

  Scenario Outline: Entries that vanish alone are dead targets, and together the store's fault
    Given a forwarder with 4 targets
    When the entries of <gone> targets vanish
    And 40 flows open
    Then flows are at <used> targets

    Examples:
      | gone | used |
      | 1    | 3    |
      | 2    | 4    |
      | 3    | 4    |

  Scenario: A service of many targets uses all of them
    Given a forwarder with 100 targets
    When 400 flows open
    Then flows are at 100 targets
    And no target has more than twice its share

  Scenario: An entry that is back in time changes nothing
    Given a forwarder with 1 targets
    When the entry of that target vanishes
    And 1 s pass
    And the entry is back
    And 10 s pass
    Then new flows open there

  Scenario: A configuration never steps back
    Given a forwarder with 3 targets
    When configuration 9 comes, and then configuration 8
    Then configuration 9 is in force

  Scenario: A target's entry never steps back
    Given a forwarder with 1 targets
    When the target leaves at revision 50, and an entry of revision 40 says it is ready
    Then new flows are reset

  Scenario: The weights of a route decide over services
    Given a forwarder with a route split 3 to 1 over two services
    When 400 flows open
    Then about 300 are at the first service

  Scenario: Two targets with one token
    Given two targets whose numbers fold to the same token
    When 20 flows open
    Then all are at the target with the lower number

  Scenario Outline: An override holds against the store's list
    Given a forwarder with 2 targets
    When the first target has the override <override>
    And configuration 9 comes
    And 20 flows open
    Then the first target <result>

    Examples:
      | override          | result              |
      | pull              | gets no flow        |
      | drain             | gets no flow        |
      | weight 0          | gets no flow        |
      | pin while leaving | gets no flow        |
      | an expired pull   | gets flows          |
      | a removed pull    | gets flows          |

  Scenario: A pin of a leaving target opens no flows that its exit would break
    Given a forwarder with 2 targets
    When the first target has the override pin
    And an entry of the first target says that it leaves
    And 20 flows open
    Then the first target gets no flow
    And the log of overrides has override_suspended once
    When an entry of the first target shows another run
    And 60 flows open
    Then the first target gets flows
    And the log of overrides has override_in_force twice

  Scenario: A near target is preferred until it is clearly busier
    Given a forwarder with a near and a far target
    When 20 flows open
    Then all are at the near target
    When the near target is reported to run 3 requests
    And 5 more flows open
    Then the new ones are at the far target

  Scenario: Targets in a silent failure domain are avoided
    Given a forwarder with a near and a far target
    When the near target is reported to run 3 requests
    And the hosts of the far failure domain go silent
    And 5 more flows open
    Then the new ones are at the near target

  Scenario: A silent failure domain of many targets costs little
    Given a forwarder with 2000 targets, all in a silent failure domain
    When a flow opens
    Then the replies of at most 32 targets were looked up

  Scenario: A silent failure domain whose targets reply is used
    Given a forwarder with a near and a far target
    When the near target is reported to run 3 requests
    And the hosts of the far failure domain go silent
    And the far target replies
    And 5 more flows open
    Then the new ones are at the far target

  Scenario: Flows of a target that two flows prove gone are reset
    Given a forwarder with 3 targets and two flows at the first, others busy
    When both flows repeat their requests twice without a reply
    Then both flows and an idle third one are reset

  Scenario: A slow target that acknowledges keeps its flows
    Given a forwarder with 3 targets and two flows at the first, others busy
    When both flows repeat their requests twice, and one of them gets a reply
    Then nothing is reset

  Scenario: A flow that came here after the proof is reset once it waits
    Given a forwarder with 3 targets and two flows at the first, others busy
    When both flows repeat their requests twice without a reply
    And the caller of a new flow sends a request
    Then the request is forwarded
    When the caller of the new flow repeats its request 0.2 s later
    Then that flow is reset

  Scenario Outline: Flows prove a loss together only if they wait at the same time
    Given a forwarder with 3 targets and two flows at the first, others busy
    When one flow repeats its request twice without a reply
    And <seconds> s pass
    And the other flow repeats its request twice without a reply
    Then <result>

    Examples:
      | seconds | result                                     |
      | 1       | both flows and an idle third one are reset |
      | 60      | nothing is reset                           |

  Scenario: One silent flow proves nothing
    Given a forwarder with 3 targets and two flows at the first, others busy
    When one flow repeats its request twice without a reply
    Then nothing is reset

  Scenario: Nothing is reset while all targets are silent
    Given a forwarder with 3 targets and two flows at the first
    When both flows repeat their requests twice without a reply
    Then nothing is reset

  Scenario: A neighbour's proof alone resets nothing
    Given a forwarder with 3 targets and two flows at the first, others busy
    When a neighbour says that the first target is lost
    Then nothing is reset

  Scenario: A neighbour's proof and one repetition reset the flows
    Given a forwarder with 3 targets and two flows at the first, others busy
    When a neighbour says that the first target is lost
    And one flow repeats its request once without a reply
    Then both flows and an idle third one are reset

  Scenario: A neighbour's proof and one repetition show nothing on a link that is slow
    Given a forwarder with 3 targets and two flows at the first
    When the hosts of its failure domain are heard
    And a neighbour says that the first target is lost
    And one flow repeats its request once without a reply
    Then nothing is reset

  Scenario Outline: A reply ends the resets, whatever they were based on
    Given a forwarder with 3 targets and two flows at the first, others busy
    When <proof>
    And the first target replies on a new flow, and a caller there sends a request
    Then the request is forwarded, and the next report names no lost target

    Examples:
      | proof                                                  |
      | both flows repeat their requests twice without a reply |
      | a neighbour's proof and a repetition reset them        |

  Scenario Outline: Hosts pass on only losses that they have proved themselves
    Given a forwarder with 3 targets and two flows at the first, others busy
    When <proof>
    Then its reports name the first target as lost and suspect: <answer>

    Examples:
      | proof                                                  | answer |
      | both flows repeat their requests twice without a reply | yes    |
      | a neighbour's proof and a repetition reset them        | no     |

  Scenario: A neighbour's proof ends with the report that no longer has it
    Given a forwarder with 3 targets and two flows at the first, others busy
    When a neighbour's report says that the first target is lost
    And a neighbour's report says that the first target is sound
    And one flow repeats its request once without a reply
    Then nothing is reset

  Scenario: A neighbour's proof holds while another neighbour has it as well
    Given a forwarder with 3 targets and two flows at the first, others busy
    When a neighbour's report says that the first target is lost
    And another neighbour's report says that the first target is lost
    And a neighbour's report says that the first target is sound
    And one flow repeats its request once without a reply
    Then both flows and an idle third one are reset

  Scenario Outline: What was seen of an earlier run shows nothing about the next one
    Given a forwarder with 3 targets and two flows at the first, others busy
    When <evidence>
    And a new run of the first target begins <where>
    Then no flow of the earlier run is counted, no target is suspect, and all may be probed
    When the caller of a new flow sends a request
    Then the request is forwarded, and the next report names no lost target
    When one flow repeats its request twice without a reply
    Then no more flows than before are reset

    Examples:
      | evidence                                               | where              |
      | both flows repeat their requests twice without a reply | at its address     |
      | both flows repeat their requests twice without a reply | at another address |
      | one flow repeats its request twice without a reply     | at its address     |
      | a neighbour's report says that the first target is lost | at its address    |
      | a flow opens at the first target and is not continued  | at its address     |

  Scenario Outline: A neighbour that does not know the new run speaks of the earlier one
    Given a forwarder with 3 targets and two flows at the first, others busy
    When a new run of the first target begins at its address
    And its flows send packets
    And <which> neighbour's report says that the first target is lost
    And one flow repeats its request once without a reply
    Then <result>

    Examples:
      | which    | result                                   |
      | a        | nothing is reset                         |
      | a newer  | both flows and an idle third one are reset |

  Scenario: A neighbour's proof counts for nothing against a target that replies
    Given a forwarder with 3 targets and two flows at the first, others busy
    When a neighbour says that the first target is lost
    And one flow repeats its request once, and another one gets a reply
    Then nothing is reset

  Scenario: Packets that waited through a pause of the host prove nothing
    Given a forwarder with 3 targets and two flows at the first, others busy
    When both flows' requests and their repetitions are read at once
    Then nothing is reset

  Scenario Outline: Requests from before and during a pause of the host prove nothing later
    Given a forwarder with 3 targets and two flows at the first, others busy
    When <requests>
    And both flows repeat their requests once, 1 s later
    Then nothing is reset
    When both flows repeat their requests twice without a reply
    Then both flows and an idle third one are reset

    Examples:
      | requests                                                            |
      | both flows' requests and repetitions are read late, after a pause   |
      | both flows have repeated their requests twice, and the host pauses  |

  Scenario: A paused host does not refuse flows that callers may have opened elsewhere
    Given a store with 2 targets
    And three hosts of one failure domain
    When the second host is paused for 0.8 s
    And an opening packet to an address without route reaches it
    Then its caller gets no reset until 0.5 s after the pause
    When an opening packet to an address without route reaches it
    Then its caller gets a reset

  Scenario: A target that resets new flows at the caller draws no more of them
    Given a forwarder with 2 targets
    When 10 flows open and those at the first target are reset there
    And 0.11 s pass
    And 10 more flows open
    Then no new flow is at the first target

  Scenario: A host that has not read its callers' packets blames no target
    Given a forwarder with 2 targets
    When a flow opens, and its caller's next packet waits in the host's buffer
    And 0.11 s pass
    Then no target is suspect
    When the host has read all packets
    And 0.11 s pass
    Then no target is suspect

  Scenario: A target that replies on other flows is not suspected for one opening
    Given a forwarder with 2 targets
    When a flow opens at the first target and is not continued
    And another flow at that target goes on
    And 0.11 s pass
    And 10 more flows open
    Then new flows are at both targets

  Scenario Outline: A host that is cut off gives up readiness only if it cannot serve
    Given a forwarder with <targets>
    When a flow opens
    And the hosts of the far failure domain go silent
    And 1 s pass
    Then the host is stranded: <stranded>

    Examples:
      | targets              | stranded |
      | a near and a far target | no    |
      | a far target only    | yes      |

  Scenario: A far target that replies keeps a host from being stranded
    Given a forwarder with a far target only
    When a flow opens
    And the hosts of the far failure domain go silent
    And the far target replies
    Then the host is stranded: no

  Scenario: A target of another service gets no packet
    Given a forwarder with 1 targets
    When the choice of a target returns one of another service
    Then the invariant target_serves_route is broken, counted, and nothing was sent

  Scenario: The first packet of a flow that moved here is no reply of its target
    Given a forwarder with 2 targets
    When a repeated request of a flow that began elsewhere arrives
    Then its target is not known to have replied

  Scenario: A caller's port that is used again starts anew
    Given a forwarder with 1 targets
    When a flow opens and its opening packet comes 1 times more
    And a flow opens from the same port
    Then its record knows one try only

  Scenario Outline: A trial connection decides whether a silent target is gone
    Given a forwarder with 3 targets and two flows at the first
    When the hosts of its failure domain are <hosts>
    And an opening at the first target is not continued
    And its trial ends with <verdict> <when>
    Then the flows at the first target are <result>

    Examples:
      | hosts     | verdict | when            | result |
      | heard     | silent  | before a reply  | reset  |
      | heard     | refuses | before a reply  | reset  |
      | not heard | refuses | before a reply  | reset  |
      | not heard | silent  | before a reply  | kept   |
      | heard     | answers | before a reply  | kept   |
      | heard     | unknown | before a reply  | kept   |
      | heard     | silent  | after a reply   | kept   |
      | heard     | refuses | after a restart | kept   |

  Scenario: Slow targets that reply are not tried
    Given a forwarder with 3 targets and two flows at the first, others busy
    When both flows repeat their requests twice, and one of them gets a reply
    Then no target is tried

  Scenario Outline: What a trial finds
    Given an address that <kind> beside a control that <control>
    Then a trial of it ends with <verdict>

    Examples:
      | kind      | control    | verdict |
      | answers   | is silent  | answers |
      | refuses   | is silent  | refuses |
      | is silent | answers    | silent  |
      | is silent | is silent  | unknown |
      | is silent | refuses    | silent  |
      | is silent | is missing | unknown |
