Feature: Steering decisions of balancers and agents

  Scenario Outline: An agent refuses what its server must not get
    # Guards against new flows at a server that is leaving, of another service, or of
    # unknown state, whatever the balancers believe.
    Given an agent whose server <state>
    When a new flow for <service> arrives
    Then it is refused as <reason>

    Examples:
      | state                    | service | reason         |
      | has not reported         | web     | unknown_server |
      | is ready                 | api     | wrong_service  |
      | is draining              | web     | draining       |
      | has taken its leave      | web     | unknown_server |
      | is fully busy            | web     | busy           |
      | has been silent for long | web     | silent         |

  Scenario: A late report does not undo a newer one
    Given an agent whose server is draining
    When an older report says that it is ready
    And a new flow for web arrives
    Then it is refused as draining

  Scenario: A report of a former server at the same address is ignored
    Given an agent whose server is ready
    When a report of a server that started earlier says that it is draining
    And a new flow for web arrives
    Then it is taken

  Scenario: A late report of a server that has taken its leave is ignored
    Given an agent whose server has taken its leave
    When an older report says that it is ready
    And a new flow for web arrives
    Then it is refused as unknown_server

  Scenario: A first packet that the server returns is refused
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server returns its first packet
    Then it is refused as returned

  Scenario: A copy of a first packet that the server did not answer is refused
    # Guards against a caller whose copies all go to a server that hangs.
    Given an agent whose server is ready
    When a new flow for web arrives
    And 0.2 s later its first packet is repeated
    Then it is refused as silent

  Scenario: A restarted agent lets its server answer for an unknown flow
    # Guards against a reset of a flow that the server holds.
    Given an agent whose server is ready
    When a packet of an unknown flow arrives
    Then it is delivered to the server
    When the server returns it
    Then it goes back to the balancer

  Scenario: An agent that has seen all flows answers for its server
    Given an agent whose server is ready and that started 100 s ago
    When a packet of an unknown flow arrives
    Then it goes back to the balancer

  Scenario: A handshake that was completed with another server is not delivered
    # Guards against two servers that take parts of one flow.
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers it with the number 1000
    And the caller acknowledges the number 5001
    Then it goes back to the balancer

  Scenario: Flows of a replaced server are reset before their next request
    # Guards against a non-idempotent request that is sent into a flow without a server.
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers it with the number 1000
    And the caller acknowledges the number 1001
    And the server sends a packet
    And 8 s later another server reports for the first time
    Then the caller is reset near the number 1001

  Scenario: Flows that a replaced server may hold are not reset
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers it with the number 1000
    And the caller acknowledges the number 1001
    And the server sends a packet
    And 0.5 s later another server reports for the first time
    Then the caller is not reset

  Scenario: A balancer without memory finds the owner
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    Then all 3 members are asked
    When member 2 says that it owns the flow
    And a packet of an unknown flow reaches the balancer
    Then the packet goes to member 2

  Scenario: A flow that no member holds is reset at once
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And all members say that they do not hold it
    Then the caller is reset by the balancer

  Scenario: A balancer that has not heard of the owner yet does not reset its flow
    # Guards against a reset by a balancer that has just started or whose copy of the
    # members lags, while another balancer has opened the flow at a new member.
    Given a balancer with 3 members whose list of members is behind
    When a packet of an unknown flow reaches the balancer
    And all members say that they do not hold it
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer
    When a fourth member is added and the list is confirmed
    Then only the fourth member is asked
    When member 3 says that it owns the flow
    Then the packet goes to member 3

  Scenario: A flow without an owner is reset once the members are confirmed
    Given a balancer with 3 members whose list of members is behind
    When a packet of an unknown flow reaches the balancer
    And all members say that they do not hold it
    And the list is confirmed
    Then the caller is reset by the balancer

  Scenario: A flow without an owner is reset in the end while the store is away
    # Guards against callers that wait for as long as an outage of the store lasts.
    Given a balancer with 3 members whose list of members is behind
    When a packet of an unknown flow reaches the balancer
    And all members say that they do not hold it
    And 3 s pass at the balancer
    Then the caller is reset by the balancer

  Scenario: Flows that wait for the members' confirmation do not hold up lookups
    Given a balancer with 3 members whose list of members is behind
    When packets of 500 unknown flows reach the balancer
    And each question is answered with no after 10 ms, for 1 s
    Then the caller is not reset by the balancer
    And all 500 flows were looked up
    When the list is confirmed
    Then all 500 callers are reset

  Scenario: A flow is not reset while a member has not answered
    # Guards against a reset while the owner's agent restarts or is frozen.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And members 0 and 1 say that they do not hold it
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario: A member that fell silent does not hold up lookups
    # Guards against callers that wait for as long as the entry of a lost VM stays.
    Given a balancer with 3 members
    When for 2 s all members report their loads
    And for 3 s only members 0 and 1 report their loads
    And a packet of an unknown flow reaches the balancer
    And members 0 and 1 say that they do not hold it
    Then the caller is reset by the balancer

  Scenario: A member that was never heard does not hold up lookups
    Given a balancer that has just started with 3 members
    When for 2 s only members 0 and 1 report their loads
    And a packet of an unknown flow reaches the balancer
    And members 0 and 1 say that they do not hold it
    Then the caller is reset by the balancer

  Scenario: An agent that said that it restarts is waited for
    # Guards against resets during a planned restart of an agent.
    Given a balancer with 3 members
    When member 2 says that it restarts
    And for 3 s only members 0 and 1 report their loads
    And a packet of an unknown flow reaches the balancer
    And members 0 and 1 say that they do not hold it
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario: A silent member is asked for its load more often
    # Guards against an agent that is back but not heard before the next subscription.
    Given a balancer with 3 members
    When for 2 s only members 0 and 1 report their loads
    Then member 2 received at least 2 subscriptions more than member 0

  Scenario: A balancer that was paused does not take its members for lost
    # Guards against resets of live flows by a balancer that was frozen.
    Given a balancer with 3 members
    When for 2 s all members report their loads
    And the balancer is frozen for 5 s
    And a packet of an unknown flow reaches the balancer
    And members 0 and 1 say that they do not hold it
    And 1 s pass at the balancer
    Then the caller is not reset by the balancer

  Scenario: An owner that answers while the members are confirmed keeps its flow
    # Guards against a reset of a live flow whose owner was taken for lost.
    Given a balancer with 3 members whose list of members is behind
    When a packet of an unknown flow reaches the balancer
    And all members say that they do not hold it
    And member 2 says that it owns the flow
    Then the packet goes to member 2
    When the list is confirmed
    Then the caller is not reset by the balancer

  Scenario: Many unknown flows are looked up at a bounded rate
    # Guards against a balancer that starts with thousands of flows and fills its link
    # with questions, so that no first packet gets through.
    Given a balancer with 52 members
    When packets of 500 unknown flows reach the balancer
    And each question is answered with no after 10 ms, for 5 s
    Then the questions of any second took at most 300,000 bytes with their headers
    And all 500 callers are reset

  Scenario: A single unknown flow is looked up without delay
    # The neighbours are asked first; features/neighbours.feature has what follows.
    Given a balancer with 12 members
    When a packet of an unknown flow reaches the balancer
    Then all 12 members are asked

  Scenario: The second question of a lookup is not repeated before its own delay
    # Guards against packets that are sent to every member twice within milliseconds.
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And 0.1 s later all members say that they are unsure
    Then the packet was tried at each member once
    When 0.1 s go by at the balancer
    Then the packet was tried at each member once
    When 0.1 s go by at the balancer
    Then the packet was tried at each member twice

  Scenario: A flow is not looked up again at once
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And members 0 and 1 say that they do not hold it
    And 1 s pass at the balancer
    And a packet of an unknown flow reaches the balancer
    Then no member is asked

  Scenario: A first packet without a route is refused at once
    Given a balancer with 3 members
    When a first packet for an address without a route arrives
    Then the caller is reset by the balancer

  Scenario: A member that does not answer is replaced by another
    Given a balancer with 3 members
    When a first packet arrives and its member does not answer for 0.07 s
    Then another member is tried

  Scenario: An evacuated zone gets no new flow
    Given a balancer with 3 members
    When the zones of members 0 and 1 are evacuated
    Then 20 first packets all go to member 2

  Scenario: An older configuration is ignored
    Given a balancer with 3 members
    When a configuration of a lower version without routes arrives
    And a first packet arrives
    Then a member is tried

  Scenario: A balancer that hears no member is isolated
    # Guards against flows that are kept at a balancer which is cut off.
    Given a balancer with 3 members
    When 3 s pass at the balancer
    Then the balancer is isolated
    When member 1 reports its load
    Then the balancer is not isolated

  Scenario: Flows of a member that fell silent are reset
    Given a balancer with 3 members
    When a packet of an unknown flow reaches the balancer
    And member 2 says that it owns the flow
    And for 4 s only members 0 and 1 report their loads
    Then the caller is reset by the balancer

  Scenario: A split by weight is the same at each balancer
    Given a route split 90 to 10 between web and api
    Then 10,000 flows go to web in 88 to 92 % of the cases, twice alike

  Scenario: An agent whose server does not run answers lookups at once
    # Guards against flows that are passed to a VM whose server lost its power, and
    # against lookups that wait for its answer.
    Given an agent that has just started and finds nobody at its server's address
    When a balancer asks for the owner of a flow
    Then the agent answers that it does not hold the flow
    When a packet of an unknown flow arrives
    Then it goes back to the balancer

  Scenario Outline: An agent that started with its server has seen all its flows
    # Guards against lookups that send a packet to every server after a power loss.
    Given an agent that started at 100000 ms
    When a server that started at <started> ms reports <cold> s of its cold time left
    And a balancer asks for the owner of a flow
    Then the agent answers that it <answer>

    Examples:
      | started | cold | answer                 |
      | 99800   | 1.5  | does not hold the flow |
      | 100400  | 1.5  | does not hold the flow |
      | 99000   | 1.5  | is unsure              |
      | 100400  | 0.0  | is unsure              |

  Scenario: An agent whose server reports again lets it answer
    Given an agent that has just started and finds nobody at its server's address
    When its server reports that it is ready
    And a balancer asks for the owner of a flow
    Then the agent answers that it is unsure

  Scenario: An agent that stops without a server does not ask to be waited for
    # Guards against lookups that wait for a VM that goes away for good.
    Given an agent that has just started and finds nobody at its server's address
    When a balancer subscribes and the agent stops
    Then its last report does not say that it restarts

  Scenario: Short messages to one peer share a datagram
    Then 1 to 50 messages are the same after they were bundled and split
    And each bundle that was cut is refused or decoded to fewer messages

  Scenario: Messages survive their encoding, and others are refused
    Then each kind of message is the same after encoding and decoding
    And 500 random datagrams are decoded or refused

  Scenario: Numbers that are no measurement are refused
    # Guards against a load that makes each comparison of members false, and against a
    # rate whose rounding raises an error in an agent.
    Then a load or a cold rate of nan, inf or -1 is refused

  Scenario: Urgencies are carried for all priorities, and a missing one is refused
    # Guards against an agent that fails at a message, and against a priority above those
    # that are carried which would read as late.
    Then priorities of 0, 126 and 1000 are carried as 0, 126 and 126
    And a first packet without an urgency is refused

  Scenario: A balancer learns that others apply a newer configuration
    # Guards against a watch that went silent without an error.
    Given a balancer with 3 members
    When member 1 reports that version 12 is applied
    Then the balancer knows of version 12 and applies version 9

  Scenario: Objects of other writers name no member
    # Guards against a member at an address that nobody published.
    Then a member's object is the same after encoding and decoding
    And 300 damaged objects are each the same member, another one or refused
