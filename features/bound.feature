Feature: Bound of what a deployment could earn

  Scenario: Servers bear their load
    Given 100 requests of 0.04 s a second for 10 slots
    Then the bound is at least 0.99 in each window of 2 s

  Scenario: A loss of power
    # Guards against a bound that counts requests as in time which were sent while nothing
    # ran, or loses those that waited.
    Given 100 requests of 0.04 s a second for 10 slots
    When the power is lost from 10 s to 11 s
    Then the bound is between 0.6 and 0.75 in the window from 10 s
    And the bound is at least 0.9 in the window from 12 s

  Scenario: A burst above the capacity
    # Guards against a bound that serves classes alike: half of the load is worth twice as
    # much, and the servers bear no more than that half.
    Given a class worth 2 and one worth 1 of 100 requests of 0.04 s a second each
    When all servers together have 4 slots
    Then the bound is between 0.6 and 0.75 in the window from 10 s

  Scenario: A kind of request that cannot be read
    When the bound is asked for "feed,140"
    Then it ends with the code 2
