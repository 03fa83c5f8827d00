Feature: Callers wait for busy servers

  While all servers of a service are busy, new flows wait at the balancer. Agents offer
  free slots to balancers with waiting flows, and the balancer assigns each slot by the
  service level of the flows' routes.

  Scenario: A flow waits for a slot of a busy server
    # Guards against resets of flows that a server could accept some milliseconds later;
    # each reset costs the caller one of its few attempts.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    Then no caller is refused
    When member 0 offers a slot
    Then the caller of "feed" is sent to member 0

  Scenario: Flows of two priorities wait for the same servers
    # Guards against starvation of one class of requests by the traffic of another.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And a caller of the route "claim" arrives
    And member 0 offers a slot
    Then the caller of "claim" is sent to member 0
    When member 1 offers a slot
    Then the caller of "feed" is sent to member 1

  Scenario: The backlog is older than the objective
    # Guards against a queue in which each flow is late because of earlier ones: flows
    # that can still meet their objective are served before late ones.
    Given a balancer whose 2 members are busy
    When a caller of the route "claim" arrives
    And 0.4 s pass while the members stay busy
    And a caller of the route "feed" arrives
    And member 0 offers a slot
    Then the caller of "feed" is sent to member 0
    When member 1 offers a slot
    Then the caller of "claim" is sent to member 1

  Scenario: All waiting flows are late
    # Guards against slots assigned to the callers that will give up next.
    Given a balancer whose 2 members are busy
    When a caller of the route "claim" arrives
    And 0.1 s pass while the members stay busy
    And another caller of the route "claim" arrives
    And 0.4 s pass while the members stay busy
    And member 0 offers a slot
    Then the second caller is sent to member 0

  Scenario: The backlog cannot be served before callers give up
    # Guards against callers that wait for a slot that cannot become free in time.
    Given a balancer whose 2 members are busy and take 0.5 s to respond
    When 40 callers of the route "feed" arrive
    And 0.15 s pass while the members stay busy
    Then between 24 and 34 callers are refused as no_slot_in_time

  Scenario: Callers give up
    # Guards against slots assigned to callers that have given up.
    Given a balancer whose 2 members are busy
    When a third copy of a first packet arrives for the route "feed"
    And 0.9 s pass while the members stay busy
    Then no caller is refused
    When member 0 offers a slot
    Then member 0 is sent a decline

  Scenario Outline: The copies of a first packet reach another balancer
    # Guards against a reset, or a second server, for a flow that was opened through
    # another balancer after the routers had moved it there.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives and is rerouted to another balancer
    And 0.35 s pass while the members stay busy
    And <event>
    Then no caller is refused
    And no member is sent an open request

    Examples:
      | event                  |
      | member 0 offers a slot |
      | the balancer stops     |

  Scenario: The route is removed while a flow waits
    # Guards against a flow that is opened under an outdated configuration.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And a configuration without the route "feed" takes effect
    Then the caller is refused as no_route

  Scenario Outline: A slot is offered by an ineligible member
    # Guards against a waiting flow that is placed on a draining server or in an
    # evacuated zone.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And member 0 <event>
    And member 0 offers a slot
    Then member 0 is sent a decline

    Examples:
      | event                       |
      | reports that it is draining |
      | is in an evacuated zone     |

  Scenario: A declined slot is offered to the next balancer
    # Guards against an idle slot while flows wait at another balancer.
    Given a busy agent that refused two balancers
    When the server finishes a request
    Then the first balancer is offered a slot
    When the first balancer declines
    Then the second balancer is offered a slot

  Scenario: A slot is offered to a balancer that has stopped
    # Guards against slots that stay reserved for a balancer that does not answer.
    Given a busy agent that refused two balancers
    When the server finishes a request
    And the offer is not answered
    Then the second balancer is offered a slot

  Scenario: An offered slot is reserved for the balancer that received the offer
    # Guards against waiting flows that lose the slot to newer flows of another balancer.
    Given a busy agent that refused two balancers
    When the server finishes a request
    Then a first packet of the second balancer is refused as busy
    And a first packet of the first balancer is accepted

  Scenario: One of two balancers has late flows only
    # Guards against a slot assigned to a late flow while a flow at another balancer can
    # still meet its objective.
    Given a busy agent that refused a late flow and then an on-time flow
    When the server finishes a request
    Then the second balancer is offered a slot

  Scenario: A balancer stops while flows wait
    # Guards against callers that are accepted shortly before a planned stop and get no
    # answer: after a reset they retry at another balancer immediately.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And the balancer stops
    Then the caller is refused as stopping

  Scenario: A member accepted the flow after the open timeout
    # Guards against a reset, or a second server, for a flow that was opened by a member
    # whose reply reached the balancer too late.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And the caller completes the handshake with a server
    And member 0 offers a slot
    Then member 0 is sent a decline
    And no caller is refused

  Scenario: A copy arrives after the servers have returned the first packet
    # Guards against an error in the balancer: between two rounds the flow has no member,
    # although one had accepted it.
    Given a balancer whose 2 members are busy
    When both members accept a first packet and refuse it as returned
    And a copy of that first packet arrives
    Then a member is asked again within 0.1 s
