Feature: Evacuations of failure domains
  Guards against new flows to an evacuated failure domain, and against evacuations that
  end without the operator, or never.

  Scenario: An evacuated failure domain gets no new flows until the evacuation is removed
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    Then new flows go to d2, d3
    And an open flow in d1 goes on
    When the evacuation of d1 is removed
    Then new flows go to d1, d2, d3
    And the evacuation of d1 ended now

  Scenario: Two evacuations at once, of which one is taken back at once
    Given a host with a target in each of d1, d2, and d3
    When d1 and d2 are evacuated
    Then new flows go to d3
    When the evacuation of d1 is removed
    Then new flows go to d1, d3

  Scenario: The last failure domain with targets of a service is evacuated
    Given a host with a target in each of d1, d2, and d3
    When d1 and d2 are evacuated
    And d3 is evacuated
    Then new flows are reset at once with the reason evacuated
    And the reset flow is traced to evacuations of d1, d2, d3

  Scenario: An evacuation of a failure domain that nobody knows
    Given a host with a target in each of d1, d2, and d3
    When d9 is evacuated
    Then new flows go to d1, d2, d3
    And the host keeps the evacuation of d9

  Scenario Outline: Content that is unreadable or missing ends no evacuation
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated by the object <object>
    Then new flows go to d2, d3
    When a host without documents takes those of this host
    Then new flows go to d2, d3 there too
    And both hosts have the same documents

    Examples:
      | object                                             |
      | {"meta": {"name": "d1", "rev": 20}, "spec": {}}     |
      | {"meta": {"name": "d1", "rev": 20}, "spec": null}   |
      | {"meta": {"name": "d1", "rev": 20}}                |
      | {"meta": {"name": "d1", "rev": 20}, "spec": }       |
      | {"meta": {"name": "d1", "rev": 20}, "spec": "\ud8"} |
      | {"meta": {"name": "d1", "rev": 20}, "spec": ""}     |

  Scenario: Documents whose content is empty are relayed as they are
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated without content
    And a host without documents takes those of this host
    Then new flows go to d2, d3 there too

  Scenario: A removal reaches a downstream
    Given a host with a target in each of d1, d2, and d3
    When d1 and d2 are evacuated
    And a host without documents takes those of this host
    And the evacuation of d1 is removed
    And the downstream takes the changes
    Then new flows go to d1, d3 there too

  Scenario: An evacuation suspends a pin
    Given a host with a target in each of d1, d2, and d3
    When an operator pins the target in d1
    And d1 is evacuated
    Then new flows go to d2, d3
    And the log of evacuations has override_suspended once
    When the evacuation of d1 is removed
    Then new flows go to d1, d2, d3
    And the log of evacuations has override_in_force twice

  Scenario: A pin of a target in an evacuated failure domain is suspended from the start
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And an operator pins the target in d1
    Then new flows go to d2, d3
    And the log of evacuations has override_suspended once

  Scenario Outline: A host is not ready before it knows the evacuations
    Given a host that knows all but the evacuations, in a deployment that <has> them
    Then with those evacuations it is ready: <before>
    When it gets an empty list of evacuations
    Then with those evacuations it is ready: yes

    Examples:
      | has      | before |
      | has      | no     |
      | lacks    | yes    |

  Scenario: A host in an evacuated failure domain that hears no other one
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And the host has placed a flow and hears no other failure domain
    Then the host gives up readiness

  Scenario: An evacuation that the copy of the store lacks
    Given a host with a target in each of d1, d2, and d3
    When d1 and d2 are evacuated
    And the store comes back with evacuations of d2
    Then new flows go to d3
    When 14 s of holding pass
    And another listing has evacuations of d2
    Then new flows go to d3
    When 1 s of holding passes
    Then new flows go to d1, d3

  Scenario: An evacuation that the operator writes again after the return
    Given a host with a target in each of d1, d2, and d3
    When d1 and d2 are evacuated
    And the store comes back with evacuations of d2
    And 5 s of holding pass
    And d1 is evacuated
    And 60 s of holding pass
    Then new flows go to d3
    When the evacuation of d1 is removed
    Then new flows go to d1, d3

  Scenario: A removed evacuation that comes back with the copy
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And the evacuation of d1 is removed
    And the store comes back with evacuations of d1
    And 60 s of holding pass
    Then new flows go to d2, d3
    When the evacuation of d1 is removed
    Then new flows go to d1, d2, d3

  Scenario: Two returns in succession
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And the store comes back with evacuations of none
    And 5 s of holding pass
    And the store comes back with evacuations of none
    And 10 s of holding pass
    Then new flows go to d2, d3
    When 5 s of holding pass
    Then new flows go to d1, d2, d3

  Scenario Outline: A downstream holds a lost evacuation no longer than its upstream
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And <first>
    And <second>
    And the downstream takes the changes
    Then new flows go to d2, d3 there too
    When the upstream is lost for 15 s
    Then new flows go to d1, d2, d3 there too

    Examples:
      | first                                           | second                                          |
      | the store comes back with evacuations of none      | a host without documents takes those of this host |
      | a host without documents takes those of this host | the store comes back with evacuations of none      |
      | a host with the same documents connects to this host | the store comes back with evacuations of none   |

  Scenario: A downstream that has the same documents learns of the hold
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And a host without documents takes those of this host
    And the store comes back with evacuations of none
    And a host with the same documents connects to this host
    And the upstream is lost for 15 s
    Then new flows go to d1, d2, d3 there too

  Scenario: A hold reaches the downstream of a downstream
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And a host without documents takes those of this host
    And a second downstream follows the first one
    And the store comes back with evacuations of none
    And both downstreams take the changes three times
    And the upstream is lost for 15 s
    Then both downstreams have ended the evacuation after few messages

  Scenario: A second downstream that took the changes before the first heard of the hold
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And a host without documents takes those of this host
    And a second downstream follows the first one
    And the store comes back with evacuations of none
    And the second downstream takes the changes before the first hears of the hold
    And the upstream is lost for 15 s
    Then both downstreams have ended the evacuation after few messages

  Scenario: A message about a hold that comes twice
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And the store comes back with evacuations of none
    And a host without documents takes those of this host
    And the upstream is lost for 10 s
    And the last message comes again
    And the upstream is lost for 5 s
    Then new flows go to d1, d2, d3 there too

  Scenario: A hold that is told late does not end an evacuation that was written again
    Given a host with a target in each of d1, d2, and d3
    When d1 is evacuated
    And the store comes back with evacuations of none
    And d1 is evacuated
    And a peer that has not heard of that tells of its hold
    And 60 s of holding pass
    Then new flows go to d2, d3

  Scenario: A peer that has not heard of the return
    Given a host with a target in each of d1, d2, and d3
    When the store comes back with evacuations of none
    And a peer sends an evacuation of d1 from before the return
    Then new flows go to d2, d3
    When 15 s of holding pass
    Then new flows go to d1, d2, d3

  Scenario Outline: A peer that knows more is asked, whichever kind it is
    Given a host that exchanges reports
    When a peer reports a newer <kinds>
    And 1 s of reports pass
    Then documents are taken from that peer

    Examples:
      | kinds                       |
      | evacuation                  |
      | override                    |
      | target                      |
      | configuration               |

  Scenario: A peer with the newest target does not hide one with the newest evacuation
    Given a host that exchanges reports
    When a peer reports a newer target
    And another peer reports a newer evacuation
    And 5 s of reports pass
    Then documents are taken from both peers
    When the first of them has sent all that it has
    And 2 s of reports pass
    Then documents are taken from the other one alone

  Scenario: A peer of a version that reports no evacuations
    Given a host that exchanges reports
    When a peer of an older version reports what this host knows
    And 5 s of reports pass
    Then documents are taken from nobody

  Scenario Outline: Operators see evacuations
    Given a store that operators read, with targets in d1 and d2
    And its evacuations: <state>
    Then fleet evacuations shows <domains>
    And new flows in d1 are shown as <shown>
    And a conflict is shown: <conflict>

    Examples:
      | state                              | domains    | shown                 | conflict |
      | none                               | none       | yes (ready)           | no       |
      | unknown kind                       | none       | yes (ready)           | no       |
      | of d1 and d9                       | d1 1, d9 0 | no (evacuation of d1) | no       |
      | of d1 and a pin                    | d1 1       | no (evacuation of d1) | yes      |
