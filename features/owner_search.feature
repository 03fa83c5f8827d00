Feature: Search for the owner of a flow that no process remembers

  After the end of all processes, neither balancers nor agents know the flows that the
  backend servers still hold. Only a server can tell, by a packet of the flow: it returns
  one of a flow that it does not hold.

  Scenario: Two balancers place a flow on the same members
    # Guards against a random choice, after which every server may hold the flow.
    Given two balancers of one zone that know 12 idle members
    When both place 200 flows
    Then both have chosen the same member for each flow
    And each member got between 5 and 30 flows

  Scenario: The servers that a flow was probably placed on are probed first
    # Guards against a packet of each flow to every server at once, which fills the link
    # of the balancer: 59 members answered too late and counted as silent.
    Given a balancer that has just started beside 30 agents that have just started
    And 100 open flows that were placed when all members were idle
    When a packet of each flow reaches the balancer
    Then at most 8 servers are probed at the same time for a flow
    And every owner is found
    And 2 of 3 owners are found by the first probes

  Scenario: Probes use no more than the lookups' share of the link
    # Guards against probes that do not count towards the limit, unlike queries.
    Given a balancer that has just started beside 30 agents that have just started
    And 200 open flows that no server holds
    When a packet of each flow reaches the balancer
    Then in no second more bytes of probes are sent than the limit and one batch of lookups

  Scenario: A silent member does not make the packets of its flow reach other servers only
    # Guards against three packets of a flow at other servers and none at its own within
    # two seconds, as packets are lost while the owner's agent restarts.
    Given a balancer that has just started beside 30 agents that have just started
    And one of the agents does not answer and its server holds a flow
    When a packet of this flow reaches the balancer each 0.1 s for 8 s
    Then in any 2 s at most 2 packets of the flow are sent to servers
