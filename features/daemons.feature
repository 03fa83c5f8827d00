Feature: Daemons

  Guards against a daemon that alters or loses what passes it, that stops on malformed
  input from any peer, or that interrupts work when it is stopped as planned.

  Background:
    Given a balancer, and an agent whose backend server is behind a TUN device
    And both know the table of a TCP service

  Scenario: A recorded TCP connection passes in both directions
    When the segments of the connection are replayed through the fabric
    Then the backend server received each segment in order, with valid checksums
    And the fabric received each answer in order, with valid checksums

  Scenario: A segment of an unknown connection is answered by a reset
    When a segment from the middle of a connection arrives
    Then the fabric receives a reset for it
    And the agent has counted 1 "flow_broken"

  Scenario: Malformed datagrams are counted and change nothing
    When generated datagrams arrive at every UDP port of both daemons
    Then both daemons have counted refusals
    And a new connection still reaches the backend server

  Scenario: A draining agent keeps its flows and refuses new ones
    Given an established connection
    When the agent is stopped as planned
    Then a new connection is answered by a reset
    And the established connection still reaches the backend server
    And the agent has stopped after the established connection ended

  Scenario: A balancer that is stopped finishes the requests in hand
    Given a request that its backend server holds back
    When the balancer is stopped as planned
    Then a new request is not accepted
    And the request in hand receives its whole response
    And a new connection still reaches the backend server


  Scenario: A balancer that was paused past its lease uses its new incarnation
    When the balancer has been paused for 400 s
    Then its messages and its forwards carry a new incarnation

  Scenario: An agent that was paused past its lease begins a new incarnation
    Given an established connection
    When the agent has been paused for 400 s
    Then the agent announces a new incarnation
    And a new request receives its whole response
    And the established connection still reaches the backend server

  Scenario: A platform that answers rubbish
    Given a platform that answers rubbish to every second call and else rubbish objects
    When both daemons are restarted with that platform
    Then both daemons have counted failed calls to the platform
    And the balancer has counted rubbish objects
    And a new connection still reaches the backend server

  Scenario: An agent without seeds finds the balancers through the platform
    Given a platform that holds 2 announcements of balancers and a rubbish one
    Then an agent without seeds starts with these 2 balancers
    And an agent without seeds exits while the platform is away
