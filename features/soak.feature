Feature: Soak test of the programs

  The programs run as processes on loopback addresses, under signals and a faulty
  connection to the store. `./scripts/soak --seeds 50` runs more seeds; each seed that
  ever failed is listed here.

  Scenario Outline: Invariants hold under random faults
    # Guards against resets of established flows by planned work, requests that run twice,
    # and responses that reach another caller.
    When the soak test runs with seed <seed> for 5 s
    Then callers made requests and no invariant was violated

    Examples:
      | seed |
      | 1    |

  Scenario Outline: The check detects each violation
    # Guards against checks that cannot fail.
    Given a run in which <what>
    When the run is checked
    Then it counts 1 of <measure>

    Examples:
      | what                                         | measure       |
      | a request ran at two servers                 | doubled       |
      | a caller got the response to another request | misdelivered  |
      | an open flow was reset without a fault       | broken_flows  |
      | an open flow was reset by a planned restart  | broken_flows  |
      | a request ran on a flow that never opened    | false_not_run |

  Scenario Outline: A fault explains the reset of a flow
    Given a run in which an open flow was reset after <fault>
    When the run is checked
    Then it counts 0 of broken_flows

    Examples:
      | fault                 |
      | its server was killed |
      | its agent was killed  |
      | a balancer was paused |
