Feature: Flow handling of agents

  Scenario Outline: Planned changes break no flow
    Guards against flows that are reset or moved by planned changes (tables, weights,
    states, processes) while messages are lost, duplicated and delayed.

    Given a fleet of 6 agents that loses 3 % and duplicates 5 % of messages, with <protocol>
    When 60 flows stay open over 1000 planned changes
    Then no flow was broken and every flow is still open

    Examples:
      | protocol |
      | TCP      |
      | UDP      |

  Scenario: Generated histories violate no invariant
    Guards against combinations of failures, zone marks, upgrades and changes that break
    a flow of a live owner, exceed a limit or send packets into a zone out of service.

    When 60 generated histories of 25 changes run on fleets with losses
    Then each invariant held after every step

  Scenario: Cold agents admit no more than their limit
    Guards against an overload of cold servers after a restart of the whole fleet.

    Given a cold fleet of 7 agents with a cap of 200
    When 4000 flows are opened within 30 s
    Then no agent exceeded its cold limit or its cap, and refusals give the reason cold

  Scenario: Cold agents admit new flows at a limited rate
    Given a cold agent that admits 200 flows a second when warm
    When 100 placements arrive in every other second for 10 s
    Then no second has over 110 % of 200 times the warm fraction, or under 80 %

  Scenario Outline: Flows follow the table's shares
    Guards against an imbalance above 10 % of a member's share.

    Given a fleet of 7 agents with weights <weights>
    When 2000 flows are opened at a steady rate
    Then every member's flows are within 10 % of its share

    Examples:
      | weights       |
      | 1             |
      | 1,4,1,2,4,1,1 |

  Scenario: Shares are met 30 s after a member joins
    Given a fleet of 6 agents with weights 1
    When 1500 flows are open, a member joins, and 60 flows a second are replaced for 30 s
    Then every member's flows are within 10 % of its share

  Scenario: The excess over a member's limit is divided by weight
    When shares of 100 flows are computed for weights 1,1,2 and limits 5,100,100
    Then the shares are 5, 31.67, 63.33

  Scenario Outline: Admission checks run in a fixed order
    Guards against a server that accepts flows which it has to refuse.

    When a flow is placed at an agent with <faults>
    Then it is refused with <reason>, counted, and refused again when repeated

    Examples:
      | faults                      | reason        |
      | no row, zone out, draining  | wrong_service |
      | zone out, draining, full    | zone_out      |
      | draining, full              | draining      |
      | announced draining          | draining      |
      | full, cold                  | cap           |
      | cold                        | cold          |

  Scenario: An availability zone goes out of service and returns
    Given a fleet of 6 agents that loses 3 % and duplicates 5 % of messages, with TCP
    When 300 flows are open and zone z1 goes out of service and returns twice
    Then the zone's flows were aborted, others kept, and it accepts new flows again

  # Guards against a reset of a caller by a member that does not own its flow. The home
  # placed the flow at another member because this member's reply was late.
  Scenario: A half-open flow in a zone going out of service ends without a caller reset
    When a zone with a half-open and an established flow goes out of service
    Then both are closed, and only the established one's caller is reset

  # Guards against two owners of one flow: while a zone was isolated, another member
  # accepted the caller's repeated first packet and completed the handshake.
  Scenario: A half-open flow whose caller acknowledges another server is looked up
    When a half-open flow's caller acknowledges a sequence number of another server
    Then the segment is not delivered, the server is reset and the members are queried

  Scenario: A half-open flow whose caller acknowledges its server is established
    When a half-open flow's caller acknowledges the sequence number of its server
    Then the segment is delivered and the flow is kept

  Scenario: A lost reply does not place a flow twice
    When a home sends its placement request to another member three times
    Then that member owns the flow once and sent the same reply each time

  Scenario: A repeated placement request at a member with a stale redirect gets one owner
    When a placement request is forwarded to an owner that drops it, and then repeated
    Then the repetition gets the same reply and nothing is delivered

  Scenario: A false report about an owner does not break its flow
    When the owner of a redirect is reported down and a segment arrives
    Then the owner is queried, and the segment is forwarded after its reply

  # Guards against a reset within a second while an owner that another member names is
  # paused and reported down.
  Scenario: An owner that another member names is queried although it is reported down
    When a member names an owner that is reported down and silent
    Then the caller is not reset for 2.5 s, and its late reply gets the segment

  # Guards against resets just after a network partition ends: the agent's view still
  # lacks members that own the flow.
  Scenario: A reply from a member reported down shows that the view is out of date
    When members that are reported down reply that they do not own a flow
    Then the caller is not reset before the view changes, and new members are queried

  # Guards against a caller that gets no response until it times out: packets for a server
  # in a zone out of service are dropped.
  Scenario: A flow is not transferred to an owner whose zone goes out of service meanwhile
    When a member reports a half-open flow and its zone goes out of service before other replies
    Then the segment is not forwarded and the caller is reset

  Scenario: A late redirect to an owner in a zone out of service is not used
    When an owner in a zone out of service registers a flow and a segment arrives
    Then the segment is not forwarded and the other members are queried

  Scenario: A placement target that is reported down may still reply
    When the target of a placement is reported down before its reply
    Then the flow is placed at that target only

  # Guards against a second owner: while an agent is paused, another home handles its
  # flows, and a first segment in the agent's socket buffer may be a repetition.
  Scenario: An agent that was paused looks up the flow of a first segment
    When an agent handles a first segment after 20 s without any event
    Then it queries the other members before it places the flow

  Scenario: An agent that was not paused places a first segment at once
    When an agent handles a first segment after 0.5 s without any event
    Then it places the flow at once

  Scenario: An early negative reply does not mask a later positive one
    When a member first replies that it has no flow and then names itself
    Then the packet is forwarded to that member

  Scenario: Two members that look up the same new flow agree on one owner
    When two agents with different views receive the first packet at the same time
    Then exactly one of them places the flow

  Scenario: Queued packets are limited and dropped ones are counted
    When 20 segments of an unknown flow arrive while members do not reply
    Then 8 are queued, 12 counted as dropped, and after 3 s the caller is reset once

  Scenario: A silent flow is registered again, then reset
    Guards against flows that stay interrupted after their redirect was lost.

    When a backend server sends 4 unanswered segments on a flow of each protocol
    Then both are registered again after 20 s
    And only the TCP flow is reset, after 20 s more with an unanswered segment

  Scenario: Feeds with rare updates are not reset
    Guards against the reset of a healthy flow with little traffic.

    When feeds with an update every 1, 15 and 300 minutes run for 12 h
    Then no flow was reset, removed or broken

  Scenario: Flows end on reset, on FIN of both sides and when idle
    When flows end by reset, by FIN, by a refused delivery and half-open
    Then their entries are removed, their homes are notified and their ports are reusable

  Scenario Outline: Outcomes return an agent to the cold state
    When a warm backend server answers in 10 ms and then <change>
    Then its limit is <percent> % of the cap

    Examples:
      | change                   | percent |
      | answers in 39 ms         | 100     |
      | answers in 50 ms         | 10      |
      | sheds 1 of 4 responses   | 10      |
      | is advised to take 0.5   | 50      |
      | is advised to take 2.0   | 100     |
      | is advised to take 0.0   | 10      |

  Scenario: Damaged state is refused
    When exported state is truncated and altered at every byte
    Then every import is refused with step "import flows"

  Scenario Outline: A packet of another service is never delivered
    Guards against the delivery of a packet to a service other than its own.

    When an agent that owns a flow receives <packet>
    Then nothing is delivered and <counter> is counted with <reason>

    Examples:
      | packet                               | counter        | reason        |
      | a flow to an address of another one  | flow_refused   | wrong_service |
      | its flow under another service       | flow_refused   | wrong_service |
      | a packet that differs from its key   | packet_dropped | malformed     |
