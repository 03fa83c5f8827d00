Feature: Steering decisions of balancers and agents

  Scenario Outline: An agent refuses new flows that its server must not get
    # Guards against new flows at a server that is draining, of another service or of
    # unknown state when balancers have outdated information.
    Given an agent whose server <state>
    When a new flow for <service> arrives
    Then the flow is refused as <reason>

    Examples:
      | state                     | service | reason         |
      | has not reported          | web     | unknown_server |
      | is ready                  | api     | wrong_service  |
      | is draining               | web     | draining       |
      | has reported its shutdown | web     | unknown_server |
      | has no free slot          | web     | busy           |
      | has been silent for 10 s  | web     | silent         |

  Scenario: An outdated report does not replace a newer one
    Given an agent whose server is draining
    When an older report says that it is ready
    And a new flow for web arrives
    Then the flow is refused as draining

  Scenario: A report of a replaced server at the same address is ignored
    Given an agent whose server is ready
    When a report of a server that started earlier says that it is draining
    And a new flow for web arrives
    Then the flow is admitted

  Scenario: A late report of a server that has shut down is ignored
    Given an agent whose server has reported its shutdown
    When an older report says that it is ready
    And a new flow for web arrives
    Then the flow is refused as unknown_server

  Scenario: A first packet that the server returns is refused
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server returns its first packet
    Then the flow is refused as returned

  Scenario: A retransmitted first packet that the server did not answer is refused
    # Guards against a caller whose retransmissions all go to a server that hangs.
    Given an agent whose server is ready
    When a new flow for web arrives
    And 0.2 s later its first packet is retransmitted
    Then the flow is refused as silent

  Scenario: A restarted agent lets its server decide on an unknown flow
    # Guards against a reset of a flow that the server holds.
    Given an agent whose server is ready
    When a packet of an unknown flow arrives
    Then the packet is delivered to the server
    When the server returns the packet
    Then the packet is returned to the balancer

  Scenario: An agent that tracks all flows returns a packet of an unknown flow
    Given an agent whose server is ready and that started 100 s ago
    When a packet of an unknown flow arrives
    Then the packet is returned to the balancer

  Scenario: A handshake that was completed with another server is not delivered
    # Guards against two servers that each receive packets of one flow.
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 5001
    Then the packet is returned to the balancer

  Scenario Outline: An agent claims no later flow from a port that was used before
    # Guards against data of an open flow that go to the server at which an earlier flow of
    # the same port has ended, and which resets them. The server's numbers reach 1001. A
    # probe, which has the numbers of both ends, tells another flow from a late packet.
    Given an agent whose server is ready and that started 100 s ago
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And the server sends a packet
    And a balancer looks up the owner of a flow whose caller acknowledges <acknowledged>
    Then the agent answers that it <answer>

    Examples:
      | acknowledged | answer                 |
      | 1001         | holds the flow         |
      | 20001        | holds the flow         |
      | 4294967000   | holds the flow         |
      | 1000000      | is unsure              |
      | 4000000000   | is unsure              |

  Scenario: A probe of another flow leaves the one that is known as it is
    # Guards against an agent that takes a late packet of an earlier flow for the present
    # one, and then returns packets of an open flow: a balancer would reset its caller.
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And a probe of another flow from the same port arrives
    Then the agent answers that it does not hold the flow
    And the packet is not delivered to the server
    When a packet with the sequence number 600 acknowledges 1010
    Then the packet is delivered to the server

  Scenario Outline: A flow that has ended at a server is not claimed as certain
    # Guards against an earlier flow that outweighs the open one at another server.
    Given an agent whose server is ready and that started 100 s ago
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And the server sends a packet
    And <end>
    And a balancer looks up the owner of a flow whose caller acknowledges 1010
    Then the agent answers that it <answer>

    Examples:
      | end                     | answer                |
      | the server sends a FIN  | holds the flow        |
      | both ends send a FIN    | probably holds a flow |
      | the server resets it    | probably holds a flow |
      | the caller resets it    | probably holds a flow |

  Scenario Outline: An agent returns packets of another flow from the same port
    # Guards against a balancer whose cache names the server of an earlier flow.
    Given an agent whose server is ready and that started 100 s ago
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And the server sends a packet
    And a packet with the sequence number <sequence> acknowledges <acknowledged>
    Then the packet is <result>

    Examples:
      | sequence   | acknowledged | result                   |
      | 600        | 1010         | delivered to the server  |
      | 15000      | 1010         | delivered to the server  |
      | 600        | 3000000      | delivered to the server  |
      | 3000000    | 1010         | delivered to the server  |
      | 3000000    | 3000000      | returned to the balancer |
      | 4000000000 | 4000000000   | returned to the balancer |

  Scenario: A server's reset of a probe does not reach the caller
    # Guards against a reset by the server of an earlier flow of the same port, to which an
    # agent that has just started passes a packet to find out whether it holds the flow.
    Given an agent whose server is ready
    When a probe of an unknown flow arrives
    Then the packet is delivered to the server
    When the server resets the flow
    Then the agent answers that it does not hold the flow
    And the caller gets no packet

  Scenario: A server's reset of a flow that it holds reaches the caller
    Given an agent whose server is ready
    When a probe of an unknown flow arrives
    And the server sends a packet
    And the server resets the flow
    Then the caller gets the packet

  Scenario: A flow whose numbers pass the highest one stays with its owner
    # Guards against a comparison that takes a number after the overflow for another flow.
    Given a balancer with 3 members
    When a flow is opened at a member with the sequence number 4294960000
    And the caller sends 40 packets of 1200 bytes and acknowledges as much
    Then all of them went to that member

  Scenario Outline: A packet of another flow from the same port is looked up
    # Guards against data of an open flow that go to the owner of an earlier one, which the
    # balancer has cached because the later one was opened at another balancer.
    Given a balancer with 3 members
    When a flow is opened at a member with the sequence number 500
    And the caller sends 2 packets of 1200 bytes and acknowledges as much
    And for 2 s all members report their loads
    And its next packet has the sequence number <sequence> and acknowledges <acknowledged>
    Then the members are queried for its owner

    Examples:
      | sequence   | acknowledged |
      | 3000000000 | 3000000000   |
      | 300000     | 300000       |

  Scenario: A report of another server alone resets no flow
    # Guards against a reset of flows of the sound server because of a report that another
    # writer sent while the server's own reports were not heard.
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And the server sends a packet
    And 8 s later another server reports for the first time
    Then the caller is not reset

  Scenario: Flows that a replaced server may hold are not reset
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And the server sends a packet
    And 0.5 s later another server reports for the first time
    Then the caller is not reset

  Scenario: A balancer without a cached owner finds the owner
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    Then all 3 members are queried
    When member 2 replies that it holds the flow
    And a packet of an unknown flow reaches the balancer
    Then the packet goes to member 2

  Scenario: A flow that its owner's server lost and no other member holds is reset at once
    # Guards against callers that wait for their deadline after a server has failed.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And members 0 and 1 reply that they do not hold the flow
    Then the caller is reset by the balancer

  Scenario: A flow that all known members deny is not reset
    # Guards against resets of live flows by a balancer that has restarted while the entry
    # of their agent is missing in the store, deleted or unreadable.
    Given a balancer with 3 members
    When the caller of a flow without a known owner retransmits for 20 s
    Then the caller is not reset by the balancer
    When a fourth member is added
    And for 4 s all members report their loads
    And a packet of an unknown flow reaches the balancer
    And member 3 replies that it holds the flow
    Then the packet goes to member 3

  Scenario: A flow that all members deny is looked up less and less often
    # Guards against a storm of queries, and of calls to the store, after a power loss:
    # callers retransmit, and no reset ends that.
    Given a balancer with 3 members
    When the caller of a flow without a known owner retransmits for 20 s
    Then the flow was looked up 5 to 8 times
    And the store was asked to confirm the members at most 7 times

  Scenario: A member that returns the first packet after an opening is no former owner
    # Guards against resets of a flow that was opened at two servers: the caller has
    # completed the handshake with the other one, whose agent is missing in the store.
    Given a balancer with 3 members
    When a flow is opened at a member, which returns the caller's next packet
    And the queried members reply that they do not hold the flow
    Then the caller is not reset by the balancer

  Scenario: A former owner says nothing about a later flow from the same port
    # Guards against resets of a live flow because an earlier one has ended.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And for 4 s all members report their loads
    And a packet of a later flow from the same port reaches the balancer
    And the queried members reply that they do not hold the flow
    Then the caller is not reset by the balancer

  Scenario: A reset tells how many members were asked
    # Guards against a line that does not show whether the owner's agent was known.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And members 0 and 1 reply that they do not hold the flow
    Then the line reset / no_owner tells that 3 of 3 members were asked, and names member 2

  Scenario: A balancer that does not know the owner yet does not reset its flow
    # Guards against a reset by a balancer that has just started or whose list of members
    # is outdated, after another balancer has opened the flow at a new member.
    Given a balancer with 3 members whose list of members is outdated
    When a packet of an unknown flow reaches the balancer
    And all members reply that they do not hold the flow
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer
    When a fourth member is added and the list of members is confirmed
    Then only the fourth member is queried
    When member 3 replies that it holds the flow
    Then the packet goes to member 3

  Scenario: A flow that its owner lost is reset once the members are confirmed
    Given a balancer with 3 members whose list of members is outdated
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And members 0 and 1 reply that they do not hold the flow
    Then the caller is not reset by the balancer
    When the list of members is confirmed
    Then the caller is reset by the balancer

  Scenario: A flow that its owner lost is not reset before the members are confirmed
    # Guards against resets of live flows: while the store's responses are lost, a member
    # that has joined since may own the flow. The member that returned it counts all the
    # while.
    Given a balancer with 3 members whose list of members is outdated
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And members 0 and 1 reply that they do not hold the flow
    And for 10 s all members report their loads
    Then the caller is not reset by the balancer
    When a packet of an unknown flow reaches the balancer
    And all members reply that they do not hold the flow
    Then the caller is not reset by the balancer
    When the list of members is confirmed
    Then the caller is reset by the balancer

  Scenario: A flow is not reset while a restored store may lack its owner's agent
    # Guards against resets by a balancer that takes the list of a store that was restored
    # from an older copy for complete.
    Given a balancer with 3 members
    When members may be missing for 3 s
    And a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And members 0 and 1 reply that they do not hold the flow
    Then the caller is not reset by the balancer
    When for 4 s all members report their loads
    And a packet of an unknown flow reaches the balancer
    And all members reply that they do not hold the flow
    Then the caller is reset by the balancer

  Scenario: Agents are told that the store was restored
    # Guards against an agent whose response of the store was lost, and against messages
    # that do not end.
    Given a balancer with 3 members
    When for 2 s all members report their loads
    And members may be missing for 3 s
    And for 10 s all members report their loads
    Then each member is told the epoch at least 3 times, at most 8 times

  Scenario Outline: A lookup that waits for a confirmation ends if the store is restored
    Given a balancer with 3 members whose list of members is outdated
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 returns a packet of the flow
    And members 0 and 1 reply that they do not hold the flow
    And members may be missing for 3 s
    And <event>
    Then the caller is not reset by the balancer

    Examples:
      | event                            |
      | the list of members is confirmed |
      | 2.5 s pass at the balancer       |

  Scenario: Flows that wait for the confirmation of members do not block lookups
    Given a balancer with 3 members whose list of members is outdated
    When the owners of 500 flows return packets of them
    And the queried members reply after 10 ms that they do not hold the flow, for 1 s
    Then the caller is not reset by the balancer
    And all 500 flows were looked up
    When the list of members is confirmed
    Then all 500 callers are reset

  Scenario: A flow is not reset while a member has not answered
    # Guards against a reset while the owner's agent restarts or is paused.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 1 replies that it holds the flow
    And member 1 returns a packet of the flow
    And member 0 replies that it does not hold the flow
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario: A member that became silent does not block lookups
    # Guards against callers that wait until the entry of a lost VM is removed.
    Given a balancer with 3 members
    When for 2 s all members report their loads
    And for 3 s only members 0 and 1 report their loads
    And a packet of an unknown flow reaches the balancer
    And member 1 replies that it holds the flow
    And member 1 returns a packet of the flow
    And member 0 replies that it does not hold the flow
    Then the caller is reset by the balancer

  Scenario: A packet that an agent itself denies is no evidence for a reset
    # Guards against a reset of an open flow whose agent has forgotten it, or of one that was
    # opened at two servers: only a server's return shows that it does not hold the flow.
    Given a balancer that has just started with 3 members
    When for 2 s all members report their loads
    And a packet of an unknown flow reaches the balancer
    And member 1 replies that it holds the flow
    And the agent of member 1 denies a packet of the flow
    And the queried members reply that they do not hold the flow
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario: A returned copy of the first packet ends no open flow
    # Guards against an agent that forgets an open flow because its server, which is full,
    # does not accept the caller's retransmitted first packet.
    Given an agent whose server is ready and that started 100 s ago
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the caller acknowledges the sequence number 1001
    And the server sends a packet
    And the server returns a copy of the first packet
    And a packet with the sequence number 600 acknowledges 1010
    Then the packet is delivered to the server

  Scenario: A member that never sent a message does not block lookups
    Given a balancer that has just started with 3 members
    When for 2 s only members 0 and 1 report their loads
    And a packet of an unknown flow reaches the balancer
    And member 1 replies that it holds the flow
    And member 1 returns a packet of the flow
    And member 0 replies that it does not hold the flow
    Then the caller is reset by the balancer

  Scenario: Few other servers get packets of a flow whose agent restarts
    # Guards against packets of an open flow that go to the servers of all agents that have
    # restarted, while its own agent is away: three within 2 s would count as a flow that
    # was moved to other servers.
    Given a balancer with 8 members
    When for 2 s all members report their loads
    And member 2 announces a restart
    And for 6 s the caller of its flow retransmits, and the other members are unsure
    Then at most 2 probes were sent in any 2 s
    When member 2 is back and holds the flow
    Then its caller's packets are relayed to member 2

  Scenario: A balancer waits for an agent that announced a restart
    # Guards against resets during a planned restart of an agent.
    Given a balancer with 3 members
    When member 2 announces a restart
    And for 3 s only members 0 and 1 report their loads
    And a packet of an unknown flow reaches the balancer
    And member 1 replies that it holds the flow
    And member 1 returns a packet of the flow
    And member 0 replies that it does not hold the flow
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario Outline: Flows of an agent that announced a restart are never released
    # Guards against resets of open flows by a restart that takes longer than the limit of
    # silence, and by an entry that another writer changes meanwhile.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And member 2 announces a restart
    And <event>
    And for 40 s only members 0 and 1 report their loads
    Then the caller is not reset by the balancer
    When member 2 reports its load
    And for 4 s only members 0 and 1 report their loads
    Then the caller is reset by the balancer

    Examples:
      | event                                |
      | 0.1 s pass at the balancer           |
      | the entry of member 2 names a server |

  Scenario: An agent that stops tells every balancer whose flows it has
    # Guards against resets by a balancer that has just started, so that it has not
    # subscribed, and that takes a planned restart for the loss of the VM.
    Given an agent whose server is ready
    When a packet of an unknown flow arrives
    And the agent stops
    Then it announces a restart to the balancer
    When 0.15 s pass at the agent
    Then it has announced the restart at least twice more
    When another balancer looks up a flow
    Then it announces a restart to that balancer

  Scenario: A silent member is sent more subscriptions
    # Guards against an agent that is back but reports only after the next subscription.
    Given a balancer with 3 members
    When for 2 s only members 0 and 1 report their loads
    Then member 2 received at least 2 subscriptions more than member 0

  Scenario: A balancer that was paused does not consider its members lost
    # Guards against resets of live flows by a balancer that was paused.
    Given a balancer with 3 members
    When for 2 s all members report their loads
    And the balancer is paused for 5 s
    And a packet of an unknown flow reaches the balancer
    And member 1 replies that it holds the flow
    And member 1 returns a packet of the flow
    And member 0 replies that it does not hold the flow
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario: An owner that answers while the members are confirmed keeps its flow
    # Guards against a reset of a live flow whose owner was considered lost.
    Given a balancer with 3 members whose list of members is outdated
    When a packet of an unknown flow reaches the balancer
    And all members reply that they do not hold the flow
    And member 2 replies that it holds the flow
    Then the packet goes to member 2
    When the list of members is confirmed
    Then the caller is not reset by the balancer

  Scenario: Many unknown flows are looked up at a bounded rate
    # Guards against a balancer that starts with thousands of unknown flows and saturates
    # its link with lookup requests, so that first packets are lost.
    Given a balancer with 52 members
    When the owners of 500 flows return packets of them
    And the queried members reply after 10 ms that they do not hold the flow, for 5 s
    Then the lookup requests of any second take at most 300,000 bytes with headers
    And all 500 callers are reset

  Scenario: A single unknown flow is looked up without delay
    # With up to 12 members, all are neighbours and are queried together;
    # features/neighbours.feature covers larger numbers.
    Given a balancer with 12 members
    When a packet of an unknown flow reaches the balancer
    Then all 12 members are queried

  Scenario: A probe is repeated only after a delay since it was sent
    # Guards against packets that are sent twice to every member within milliseconds.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And 0.1 s later all members reply that they are unsure
    Then the packet was sent as a probe to each member once
    When 0.1 s pass at the balancer
    Then the packet was sent as a probe to each member once
    When 0.1 s pass at the balancer
    Then the packet was sent as a probe to each member twice

  Scenario: A flow is not looked up again immediately
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And members 0 and 1 reply that they do not hold the flow
    And 1 s pass at the balancer
    And a packet of an unknown flow reaches the balancer
    Then no member is queried

  Scenario: A first packet without a route is refused immediately
    Given a balancer with 3 members
    When a first packet for an address without a route arrives
    Then the caller is reset by the balancer

  Scenario: A new flow is sent to another member if the first one does not answer
    Given a balancer with 3 members
    When a first packet arrives and its member does not answer for 0.07 s
    Then another member is tried

  Scenario: An evacuated zone receives no new flow
    Given a balancer with 3 members
    When the zones of members 0 and 1 are evacuated
    Then 20 first packets all go to member 2

  Scenario: An older configuration is ignored
    Given a balancer with 3 members
    When a configuration of a lower version without routes arrives
    And a first packet arrives
    Then a member is tried

  Scenario: A balancer that receives no message of a member is isolated
    # Guards against flows that stay at a balancer without a connection to any member.
    Given a balancer with 3 members
    When 3 s pass at the balancer
    Then the balancer is isolated
    When member 1 reports its load
    Then the balancer is not isolated

  Scenario: Flows of a member that became silent are reset
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 2 replies that it holds the flow
    And for 4 s only members 0 and 1 report their loads
    Then the caller is reset by the balancer

  Scenario: All balancers split flows by weight in the same way
    Given a route split 90 to 10 between web and api
    Then 88 to 92 % of 10,000 flows go to web, and an equal route chooses the same service for each flow

  Scenario: An agent whose server does not run answers lookups immediately
    # Guards against flows that are delivered to a VM whose server lost power, and against
    # lookups that wait for its answer.
    Given an agent that has just started and finds no server at its server's address
    When a balancer looks up the owner of a flow
    Then the agent answers that it denies the flow on evidence: server_absent
    When a packet of an unknown flow arrives
    Then the packet is returned to the balancer

  Scenario Outline: An agent that found no server before knows all flows of the server
    # Guards against lookups that send a packet to every server after a power loss, and
    # against an agent that takes a report of another server for the new one's.
    Given an agent that has just started and finds no server at its server's address
    When <seconds> s later a cold server sends its report <sequence>
    And a balancer looks up the owner of a flow
    Then the agent answers that it <answer>

    Examples:
      | seconds | sequence | answer                                  |
      | 0.3     | 1        | denies the flow on evidence: seen_start |
      | 4       | 6        | denies the flow on evidence: seen_start |
      | 0.6     | 8        | is unsure                               |

  Scenario Outline: An agent that was restarted returns no packet of its server's flows
    # Guards against resets of all open flows of a server after the time of day was set:
    # its agent returned them because the server seemed to have started later. Lookups may
    # be answered by the signs of a loss of power, as a denial resets nobody.
    Given an agent that has just started
    When <seconds> s later a cold server sends its report 2
    And a balancer looks up the owner of a flow
    Then the agent answers that it <answer>
    When a packet of an unknown flow arrives
    Then the packet is delivered to the server

    Examples:
      | seconds | answer                 |
      | 0.3     | does not hold the flow |
      | 0.8     | is unsure              |

  Scenario: A server gets no further probe of a flow that it returned
    # Guards against a packet to every server at each lookup of a flow that a loss of power
    # has ended; the callers are not reset, and their copies go on.
    Given an agent whose server is ready
    When a probe of an unknown flow arrives
    And the server returns the probe
    And a balancer looks up the owner of a flow whose caller acknowledges 1001
    Then the agent answers that it denies the flow on evidence: returned
    When a probe of an unknown flow arrives
    Then the agent answers that it denies the flow on evidence: returned
    And the packet is not delivered to the server
    When a balancer looks up the owner of a flow whose caller acknowledges 1000000
    Then the agent answers that it is unsure
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And a balancer looks up the owner of a flow whose caller acknowledges 1001
    Then the agent answers that it holds the flow

  Scenario: An agent that found no server at first knows the flows of the one that starts
    Given an agent that has just started and finds no server at its server's address
    When 0.2 s later its server passes a health check
    And 0.1 s later a cold server sends its report 1
    And a balancer looks up the owner of a flow
    Then the agent answers that it denies the flow on evidence: seen_start

  Scenario: An agent lets its server decide on unknown flows once the server reports again
    Given an agent that has just started and finds no server at its server's address
    When the agent's server reports that it is ready
    And a balancer looks up the owner of a flow
    Then the agent answers that it is unsure

  Scenario: An agent that stops without a server does not announce a restart
    # Guards against lookups that wait for a VM that was removed for good.
    Given an agent that has just started and finds no server at its server's address
    When a balancer subscribes and the agent stops
    Then the agent's last report does not announce a restart

  Scenario: Short messages to one peer share a datagram
    Then 1 to 50 messages are the same after bundling and splitting
    And each truncated bundle is refused or decoded to fewer messages

  Scenario: Messages are decoded as encoded, and malformed ones are refused
    Then each kind of message is the same after encoding and decoding
    And 500 random datagrams are decoded or refused

  Scenario: Numbers that are negative or not finite are refused
    # Guards against a load for which every comparison of members is false, and against a
    # rate whose rounding raises an error in an agent.
    Then a load or a cold rate of nan, inf or -1 is refused

  Scenario: Urgencies are encoded for all priorities, and a missing one is refused
    # Guards against a message that raises an error in an agent, and against a priority
    # above the maximum of the encoding that would be decoded as late.
    Then priorities of 0, 126 and 1000 are decoded as 0, 126 and 126
    And a first packet without an urgency is refused

  Scenario: A balancer learns that others have a newer configuration
    # Guards against a watch that stopped delivering changes without an error.
    Given a balancer with 3 members
    When member 1 reports that version 12 is in force
    Then the balancer knows of version 12 and has version 9 in force

  Scenario: Malformed objects of members are refused
    # Guards against a member at an address that no agent published.
    Then a member's object is the same after encoding and decoding
    And 300 damaged objects are each decoded to a member or refused
