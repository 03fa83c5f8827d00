Feature: Daemons

  Guards against daemons that alter or lose packets, stop on malformed input from any
  peer, or interrupt flows and requests during a graceful stop.

  Background:
    Given a balancer, and an agent whose backend server is behind a TUN device
    And both hold the table of a TCP service

  Scenario: The segments of a TCP connection arrive unchanged in both directions
    When the segments of the connection are sent through the fabric
    Then the backend server received each segment in order, with valid checksums
    And the fabric received each answer in order, with valid checksums

  Scenario: A segment of an unknown connection is answered with a reset
    When a segment without SYN arrives for an unknown connection
    Then the fabric receives a reset for it
    And the agent has counted 1 "flow_broken"

  Scenario: Malformed datagrams are refused and have no other effect
    When generated datagrams arrive at every UDP port of both daemons
    Then both daemons have counted refusals
    And a new connection still reaches the backend server

  Scenario: A draining agent serves its flows and refuses new ones
    Given an established connection
    When the agent is stopped gracefully
    Then a new connection is answered with a reset
    And the established connection still reaches the backend server
    And the agent stops after the established connection has ended

  Scenario: A balancer that stops finishes the requests in progress
    Given a request whose response the backend server delays
    When the balancer is stopped gracefully
    Then a new request is refused
    And the request in progress receives its whole response
    And a new connection still reaches the backend server

  Scenario: A balancer that was paused beyond its lease uses a new incarnation
    When the balancer has been paused for 400 s
    Then its messages and forwarded packets carry a new incarnation

  Scenario: An agent that was paused beyond its lease uses a new incarnation
    Given an established connection
    When the agent has been paused for 400 s
    Then the agent announces a new incarnation
    And a new request receives its whole response
    And the established connection still reaches the backend server

  Scenario: Invalid responses of the platform are counted and have no other effect
    Given a platform that returns invalid responses and invalid objects in turn
    When both daemons are restarted with that platform
    Then both daemons have counted failed platform calls
    And the balancer has counted refused objects
    And a new connection still reaches the backend server

  Scenario: An agent without seeds finds the balancers through the platform
    Given a platform that holds 2 announcements of balancers and an invalid one
    Then an agent without seeds starts with these 2 balancers
    And an agent without seeds exits if the platform does not answer
