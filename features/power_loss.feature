Feature: Return after a loss of power

  All processes start again within a second, in any order, while every caller repeats
  its packets. Callers have few attempts and repeat a refused one at once, so a refusal
  in these moments costs them the request.

  Scenario Outline: A balancer without <part> holds the packets of callers
    # Guards against resets and lost packets before the platform's store has answered.
    Given a balancer that starts and does not know <part>
    When a first packet reaches it
    Then no caller is reset and no agent is asked
    When the balancer is told <part>
    Then the first packet goes to a member

    Examples:
      | part              |
      | the configuration |
      | the members       |
      | the zones         |

  Scenario: A packet of an open flow is looked up once the members are known
    # Guards against a pause before the lookup of a flow that the first packet needs.
    Given a balancer that starts and does not know the members
    When a packet of an open flow reaches it
    And the balancer is told the members
    Then the members are asked for the flow's owner

  Scenario: A balancer that stays without configuration lets its callers go
    # Guards against callers that wait until their deadline at a balancer that is cut
    # off from the store and from its peers.
    Given a balancer that starts and does not know the configuration
    When a first packet reaches it
    And 0.6 s pass without news
    Then the caller is reset as not_informed

  Scenario: A late copy of a first packet meets members that are starting
    # Guards against a refusal at once because the caller has waited before: the copy is
    # its last one, and the members know their servers again within a heartbeat.
    Given a balancer that starts and does not know the zones
    When a third copy of a first packet reaches it
    And the balancer is told the zones
    And the member refuses it since it does not know its server
    And all other members refuse it, too
    Then no caller is reset
