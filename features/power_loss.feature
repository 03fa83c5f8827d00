Feature: Recovery from a power loss

  All processes restart within a second, in any order, while every caller retransmits its
  packets. Callers have few attempts and retry a refused one immediately, so a refusal in
  this phase costs them the request.

  Scenario Outline: A balancer buffers packets until it has received <part>
    # Guards against resets and lost packets before the platform's store has answered.
    Given a balancer that starts and does not know <part>
    When a first packet reaches it
    Then no caller is reset and no agent is sent an open request
    When the balancer receives <part>
    Then the first packet is sent to a member

    Examples:
      | part              |
      | the configuration |
      | the members       |
      | the zones         |

  Scenario: A packet of an open flow is looked up once the members are known
    # Guards against a lookup that ends without members and so delays the next lookup of
    # the flow by 0.8 s.
    Given a balancer that starts and does not know the members
    When a packet of an open flow reaches it
    And the balancer receives the members
    Then the members are queried for the flow's owner

  Scenario: A balancer that receives no configuration refuses its callers
    # Guards against callers that wait until their deadline at a balancer that is
    # partitioned from the store and from its peers.
    Given a balancer that starts and does not know the configuration
    When a first packet reaches it
    And 0.6 s pass without an update
    Then the caller is reset as not_informed

  Scenario: The last copy of a first packet arrives while members are starting
    # Guards against an immediate refusal because of the time that the caller has already
    # waited: this copy is its last, and members know their servers within a heartbeat.
    Given a balancer that starts and does not know the zones
    When a third copy of a first packet reaches it
    And the balancer receives the zones
    And the member refuses it because it does not know its server
    And all other members refuse it as well
    Then no caller is reset
