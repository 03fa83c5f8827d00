Feature: Upper bound of the value that a deployment can achieve

  Scenario: Load below the capacity
    Given 100 requests of 0.04 s a second for 10 slots
    Then the bound is at least 0.99 in each window of 2 s

  Scenario: A power outage
    # Guards against a bound that counts requests sent during the outage as in time, or
    # that loses requests waiting for its end.
    Given 100 requests of 0.04 s a second for 10 slots
    When the power is out from 10 s to 11 s
    Then the bound is between 0.6 and 0.75 in the window from 10 s
    And the bound is at least 0.9 in the window from 12 s

  Scenario: Load above the capacity
    # Guards against a bound that treats all classes alike: half of the load has twice the
    # value, and the capacity suffices for that half only.
    Given classes of value 2 and 1 with 100 requests of 0.04 s a second each
    When the servers have 4 slots
    Then the bound is between 0.6 and 0.75 in the window from 10 s

  Scenario: A malformed request class
    When the bound is computed for the class "feed,140"
    Then the command exits with code 2
