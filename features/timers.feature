Feature: Timer service

  Guards against callbacks that run early, twice or after they were cancelled.

  Scenario: Callbacks run when they are due
    Given a timer service on a manual clock
    When a callback is scheduled every 2.0 s and another once after 3.0 s
    And the clock advances 7 times by 1.0 s
    Then the periodic callback ran at 2.0, 4.0, 6.0
    And the single callback ran at 3.0

  Scenario: A cancelled timer does not run
    Given a timer service on a manual clock
    When a callback is scheduled every 2.0 s and another once after 3.0 s
    And both are cancelled
    And the clock advances 7 times by 1.0 s
    Then no callback ran
