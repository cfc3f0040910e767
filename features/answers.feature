Feature: Answers of two runs
  Guards against a caller that puts together pieces of two answers, when a home dies
  and an idempotent request runs again at the next one, and against a handover that
  prolongs the time in which outcomes are unknown.

  Scenario: Pieces of another run start the answer anew
    Given an answer exchange with 2 of 3 pieces of run 100
    When piece 2 of run 200 arrives
    Then the answer exchange holds only pieces of run 200

  Scenario: A second handover keeps the end of the incomplete time
    Given a home that lacks records until a set time
    When it is handed over twice
    Then the last home lacks records until the same time

  Scenario Outline: A home takes the right from whoever was home until its own view
    Given a home that started at epoch 6 and awaits a host that never was home
    When another host hands the target over at epoch <epoch>
    Then the waiting home <result>

    Examples:
      | epoch | result               |
      | 6     | has the right        |
      | 5     | has the records only |

  Scenario: A handover that never comes does not stop a target
    Given a home that started at epoch 6 and awaits a host that never was home
    When no handover comes for 11 s
    Then the waiting home goes on without records
