Feature: Callers wait for busy servers

  While all servers of a service are busy, first packets wait at the balancer. Agents
  offer free slots to balancers with waiting callers, and the balancer decides which of
  them gets the slot, by the service level of its route.

  Scenario: A burst meets busy servers
    # Guards against resets of callers that a server could take some milliseconds later;
    # each reset costs one of a caller's few attempts.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    Then no caller is refused
    When member 0 offers a slot
    Then the caller of "feed" goes to member 0

  Scenario: Two classes of callers wait for the same servers
    # Guards against a class of requests that starves behind another one's traffic.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And a caller of the route "claim" arrives
    And member 0 offers a slot
    Then the caller of "claim" goes to member 0
    When member 1 offers a slot
    Then the caller of "feed" goes to member 1

  Scenario: A backlog is older than the objective
    # Guards against a queue in which every caller is late because of earlier ones: one
    # that can still be in time goes first, and the late ones follow.
    Given a balancer whose 2 members are busy
    When a caller of the route "claim" arrives
    And 0.4 s pass while the members stay busy
    And a caller of the route "feed" arrives
    And member 0 offers a slot
    Then the caller of "feed" goes to member 0
    When member 1 offers a slot
    Then the caller of "claim" goes to member 1

  Scenario: All callers of a backlog are late
    # Guards against slots that go to the callers which are the next to give up.
    Given a balancer whose 2 members are busy
    When a caller of the route "claim" arrives
    And 0.1 s pass while the members stay busy
    And another caller of the route "claim" arrives
    And 0.4 s pass while the members stay busy
    And member 0 offers a slot
    Then the second caller goes to member 0

  Scenario: A backlog is longer than callers wait
    # Guards against callers that wait for a slot which cannot come in time.
    Given a balancer whose 2 members are busy and take 0.5 s to respond
    When 40 callers of the route "feed" arrive
    And 0.15 s pass while the members stay busy
    Then between 24 and 34 callers are refused as no_slot_in_time

  Scenario: Callers give up
    # Guards against slots that are spent on callers which have gone.
    Given a balancer whose 2 members are busy
    When a third copy of a first packet arrives for the route "feed"
    And 0.9 s pass while the members stay busy
    Then no caller is refused
    When member 0 offers a slot
    Then member 0 is told that nobody waits

  Scenario Outline: The copies of a first packet reach another balancer
    # Guards against a reset, or a second server, for a flow that opened through another
    # balancer after the routers had moved it there.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives and its flow moves to another balancer
    And 0.35 s pass while the members stay busy
    And <event>
    Then no caller is refused
    And no member is sent a flow

    Examples:
      | event                  |
      | member 0 offers a slot |
      | the balancer ends      |

  Scenario: The route is removed while callers wait
    # Guards against a flow that opens by an older configuration than the one in force.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And a configuration without the route "feed" comes in force
    Then the caller is refused as no_route

  Scenario Outline: A slot is offered by a member that must not be used
    # Guards against a waiting caller that reaches a zone or server which is leaving.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And member 0 <event>
    And member 0 offers a slot
    Then member 0 is told that nobody waits

    Examples:
      | event                   |
      | reports that it drains  |
      | is in an evacuated zone |

  Scenario: Two balancers wait for one server
    # Guards against an idle slot while another balancer's callers wait.
    Given a busy agent that refused two balancers
    When the server finishes a request
    Then the first balancer is offered a slot
    When it declines
    Then the second balancer is offered a slot

  Scenario: A slot is offered to a balancer that ends
    # Guards against slots that stay reserved for a balancer which does not answer.
    Given a busy agent that refused two balancers
    When the server finishes a request
    And the offer is not answered
    Then the second balancer is offered a slot

  Scenario: A slot is kept for the balancer that was offered it
    # Guards against callers that wait while newer ones of another balancer get the slot.
    Given a busy agent that refused two balancers
    When the server finishes a request
    Then a first packet of the second balancer is refused as busy
    And a first packet of the first balancer is taken

  Scenario: One balancer has late callers only
    # Guards against a slot that goes to a late caller while another balancer's caller
    # would still be in time.
    Given a busy agent that refused a late flow and then one in time
    When the server finishes a request
    Then the second balancer is offered a slot

  Scenario: A balancer ends while callers wait
    # Guards against callers that were taken shortly before a planned stop and then get
    # no answer: told at once, they try again at another balancer.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And the balancer ends
    Then the caller is refused as stopping

  Scenario: A member that was given up had taken the flow
    # Guards against a reset, or a second server, for a flow that opened at a member whose
    # answer came too late for the balancer.
    Given a balancer whose 2 members are busy
    When a caller of the route "feed" arrives
    And the caller completes the handshake with a server
    And member 0 offers a slot
    Then member 0 is told that nobody waits
    And no caller is refused
