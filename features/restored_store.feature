Feature: Nodes after the store was restored from an older copy

  The real nodes run on loopback addresses, with a stand-in of the store that returns from
  a copy and so loses what the nodes wrote last.

  Scenario Outline: An open flow survives the restoration of the store
    # Guards against resets of open flows whose server joined shortly before: the restored
    # store lacks its agent, and a balancer that does not know the agent finds no owner.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    When the store returns after <away> s from a copy from before the late server joined
    And the balancer is replaced <delay> s later
    And the caller sends requests on its flow for 3 s
    Then its requests are answered and its flow is not reset

    Examples: the agent has written again before the balancer lists the members
      | away | delay |
      | 0.5  | 2.5   |
      | 1.5  | 0.5   |

    Examples: the balancer lists the members first
      | away | delay |
      | 0.5  | 0.0   |

  Scenario: An open flow survives a restoration that the store did not tell its agent
    # Guards against an agent that writes again only when its watch times out, long after
    # balancers have dropped it: the response to the watch was lost.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    When the responses to the agents' watches are lost for 0.3 s
    And the store returns after 0.5 s from a copy from before the late server joined
    And the balancer is replaced 5.0 s later
    And the caller sends requests on its flow for 3 s
    Then its requests are answered and its flow is not reset

  Scenario: A server that left before the restoration is not listed again
    # Guards against a deletion that the restored store has lost.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    When the late server deregisters
    And the store returns after 0.5 s from a copy from before the late server left
    Then the store lists 1 member within 3 s

  Scenario: A response from before the restoration is not used
    # Guards against objects and revisions of an earlier epoch, which a stale read or a
    # delayed response may still bring.
    Given a store and a balancer
    When the store sends its previous epoch after a new one
    Then the call fails as outdated

  Scenario: An agent publishes itself at another store with an earlier epoch
    # Guards against a node that refuses all responses after a change of the address, and
    # against an agent that the new store does not know.
    Given a store and a balancer
    And an agent with a server that joined early
    And the store was restored
    When the agent's settings name another store
    Then the other store lists the agent within 3 s
