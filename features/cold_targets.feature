Feature: Limit of new flows to cold targets
  Guards against cold targets that get more opening packets than they can handle from
  many hosts together, and against flows that are refused or misplaced by the limit.

  Scenario Outline: Hosts that hear each other keep to the limit and use cold targets
    Given <hosts> hosts in two failure domains that have run for <age> s
    And 20 warm and 4 cold targets that bear 4 requests a second
    When flows open at all hosts for 4 s
    Then no cold target gets more than 11 opening packets in a second
    And cold targets get at least 0.3 of their limit
    And no flow is refused for want of warm targets

    Examples:
      | hosts | age |
      | 70    | 12  |
      | 130   | 24  |

  Scenario: A domain that returns cold is served by one host for each target
    Given 70 hosts in two failure domains that have run for 12 s
    And 24 warm and 0 cold targets that bear 4 requests a second
    When the evacuation of the first failure domain ends
    And flows open at all hosts for 3 s
    Then no target of that domain gets more than 11 opening packets in a second
    And no flow is refused for want of warm targets
    When 0.5 s pass without flows
    Then no target is cold

  Scenario Outline: Failed and separated hosts do not exceed the limit
    Given 70 hosts in two failure domains that have run for 12 s
    And 20 warm and 4 cold targets that bear 4 requests a second
    When <failure>
    And flows open at all hosts for 12 s
    Then no cold target gets more than 11 opening packets in a second
    And no flow is refused for want of warm targets
    And in the last 4 s cold targets get <use> opening packets

    Examples:
      | failure                                              | use  |
      | the hosts chosen for the cold targets die            | some |
      | the hosts chosen for the cold targets hear no others | no   |
      | the hosts chosen for the cold targets are not heard  | some |
      | the first failure domain splits into 2 parts         | some |
      | the first failure domain splits into 5 parts         | no   |
      | the failure domains are cut off from each other      | some |
      | 30 hosts of the first failure domain die             | no   |

  Scenario Outline: Hosts that start together do not exceed the limit
    Given <hosts> hosts in two failure domains that start together
    And 20 warm and 24 cold targets that bear 4 requests a second
    When flows open at all hosts for 3 s
    Then cold targets get no flow
    When flows open at all hosts for 6 s
    Then no cold target gets more than 11 opening packets in a second
    And no flow is refused for want of warm targets

    Examples:
      | hosts |
      | 70    |
      | 130   |

  Scenario: Flows beyond an enforced limit are refused
    Given 70 hosts in two failure domains that have run for 12 s
    And 0 warm and 6 cold targets that bear 4 requests a second
    When flows open at all hosts for 4 s
    Then no cold target gets more than 11 opening packets in a second
    And cold targets get at least 0.3 of their limit
    And some flows are refused for want of warm targets

  Scenario: A limit without a rate ends where no other target is left
    Given 70 hosts in two failure domains that have run for 12 s
    And 0 warm and 6 cold targets that bear 0 requests a second
    When flows open at all hosts for 1 s
    Then no flow is refused for want of warm targets

  Scenario: A limit without a rate ends where the others are suspect
    Given 70 hosts in two failure domains that have run for 12 s
    And 2 warm and 4 cold targets that bear 0 requests a second
    When flows open at all hosts for 1 s
    Then no cold target gets more than 5 opening packets in a second
    When the warm targets become suspect
    And flows open at all hosts for 1 s
    Then warm targets get no flow
    And no flow is refused for want of warm targets

  Scenario: The last other target keeps the limit for copies of opening packets
    Given 70 hosts in two failure domains that have run for 12 s
    And 1 warm and 4 cold targets that bear 0 requests a second
    When flows whose first copy went to the warm target open for 2 s
    Then no cold target gets more than 5 opening packets in a second

  Scenario Outline: Limits that follow from the figures
    Given a cold rate of <rate>, a factor of <factor>, and a slack of <slack>
    Then the limit of cold targets is <limit>

    Examples:
      | rate | factor | slack | limit         |
      | 4    | 1.5    | 5     | 11, enforced  |
      | 4    | 1.5    | none  | 6, enforced   |
      | 4    | none   | 5     | 5, not enforced |
      | 4    | none   | none  | none          |
      | 0    | 1.5    | 5     | 5, not enforced |
      | 0    | 1.5    | 0     | 0, not enforced |
      | 0    | 1.5    | none  | none          |
      | none | 1.5    | 5     | 5, not enforced |
      | none | none   | none  | none          |

  Scenario Outline: Without a limit targets are chosen as without the limiter
    Given 70 hosts in two failure domains that have run for 12 s
    And 20 warm and 20 cold targets that bear <rate> requests a second
    And limits of cold targets that are not known: <settings>
    When flows open for 1 s at hosts with and without the limiter
    Then both choose the same targets

    Examples:
      | rate | settings                |
      | 4    | without evacuations     |
      | none | without factor or slack |

  Scenario Outline: A target that was unreachable counts as cold
    Given 70 hosts in two failure domains that have run for 12 s
    And 2 warm and 0 cold targets that bear 4 requests a second
    When <witness> finds the first target unreachable and it replies again
    Then the first target is cold
    When 4.8 s pass without flows
    Then no target is cold

    Examples:
      | witness      |
      | the host     |
      | another host |

  Scenario: A lost target whose entry expires may be back, cold, before its new entry
    Given 70 hosts in two failure domains that have run for 12 s
    And 3 warm and 0 cold targets that bear 4 requests a second
    When the host finds the first target unreachable and it replies again
    And 3.5 s pass without flows
    And the entry of the first target expires
    And 1.5 s pass without flows
    Then the first target is cold
