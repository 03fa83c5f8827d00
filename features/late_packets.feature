Feature: Packets that arrive late

  A packet may be delayed until its flow has gone on by more than 76,800 bytes.

  Scenario Outline: A late packet of an upload does not end its flow
    # Guards against a reset of an open flow: the agent returned the late packet as one of
    # another flow of the same port, and the balancer took that for the loss of the flow.
    Given 2 balancers, 3 agents and an open flow
    When a packet of the caller is delayed
    And the caller uploads 70 packets through balancer <through>
    And the delayed packet arrives at balancer <late>
    And the caller sends a request through balancer <late>
    Then the request reaches the server, and the caller is not reset

    Examples:
      | through | late |
      | 0       | 0    |
      | 1       | 0    |
      | 1       | 1    |

  Scenario Outline: A late acknowledgement does not interrupt its flow
    # Guards against a flow that is left alone for 0.8 s or reset, since its agent denied it
    # because of one late packet.
    Given 2 balancers, 3 agents and an open flow
    When a packet of the caller is delayed
    And the server responds with 70 packets through balancer <through>
    And the delayed packet arrives at balancer <late>
    And the caller sends a request through balancer <late>
    Then the request reaches the server, and the caller is not reset

    Examples:
      | through | late |
      | 0       | 0    |
      | 1       | 0    |
