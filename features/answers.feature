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
