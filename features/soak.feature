Feature: Soak test of the programs

  The programs run as processes on loopback addresses, under signals and a faulty
  connection to the store, beside other writers. `./scripts/soak --seeds 50` runs more
  seeds, with `--faults` the other mixes. Seeds that failed are listed here or in
  docs/measurements.md.

  Scenario Outline: Invariants hold under random faults
    # Guards against resets of established flows by planned work, other writers and lost
    # responses, requests that run twice, and responses that reach another caller.
    When the soak test runs with seed <seed> and the faults <faults> for <seconds> s
    Then callers made requests and no invariant was violated

    Examples:
      | faults | seed | seconds |
      | all    | 1    | 5       |
      | large  | 1    | 5       |

    Examples: Seeds that failed
      | faults   | seed | seconds |
      | writer   | 1    | 5       |
      | reports  | 3    | 5       |
      | ports    | 1    | 3       |

    @known_red
    Examples: Seeds that fail, see KNOWN-RED.txt
      | faults   | seed | seconds |
      | restarts | 1    | 10      |

  Scenario Outline: The check detects each violation
    # Guards against checks that cannot fail.
    Given a run in which <condition>
    When the run is checked
    Then it counts 1 of <measure>

    Examples:
      | condition                                        | measure         |
      | a request ran at two servers                     | doubled         |
      | a caller got the response to another request     | misdelivered    |
      | an open flow was reset without a fault           | broken_flows    |
      | an open flow was reset by a planned restart      | broken_flows    |
      | an open flow was reset by restarts in turn       | broken_flows    |
      | an open flow was reset by another writer         | broken_flows    |
      | an open flow was reset by odd reports            | broken_flows    |
      | an open flow was reset by lost responses         | broken_flows    |
      | an open flow was reset by another agent's kill   | broken_flows    |
      | an open flow was reset by another path's pause   | broken_flows    |
      | an open flow was reset by a kill long before     | broken_flows    |
      | an open flow was reset by an earlier server      | broken_flows    |
      | a request ran on a flow that never opened        | false_not_run   |
      | requests of a flow ran at two servers            | flows_elsewhere |
      | packets of a flow reached only other servers     | misrouted_flows |
      | packets of a flow reached others by planned work | misrouted_flows |
      | packets of a flow reached others as copies       | misrouted_flows |
      | a node took more memory than permitted           | exceeded_memory |

  Scenario Outline: A fault explains the reset of a flow
    Given a run in which an open flow was reset after <fault>
    When the run is checked
    Then it counts 0 of broken_flows

    Examples:
      | fault                 |
      | its server was killed |
      | its agent was killed  |
      | a balancer was paused |

  Scenario Outline: A flow is not misrouted
    Given a run in which packets of a flow <condition>
    When the run is checked
    Then it counts 0 of misrouted_flows

    Examples:
      | condition                              |
      | reached others twice                   |
      | reached others and its own             |
      | reached others after its agent's kill  |
      | reached others after its server's kill |
