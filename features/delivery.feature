Feature: Delivery to the backend server

  Guards against packets or replies that are altered, reach another flow or stop the
  agent, and against a closed port that is mistaken for a server that does not answer.

  Scenario: Datagrams reach the backend server and replies reach the caller
    Given a UDP backend server that answers each datagram
    When 20 flows each deliver 5 datagrams
    Then each flow receives its 5 answers from the service's address
    And each flow has used its own source port

  Scenario: A refused datagram is reported
    Given a UDP backend server that answers each datagram
    And the backend server is closed
    When a flow delivers a datagram and waits for a refusal
    Then the refusal names the flow

  Scenario: Packets that are not valid UDP datagrams are counted
    Given a UDP backend server that answers each datagram
    When a flow delivers malformed packets
    Then 4 drops with the reason "not_a_datagram" are counted

  Scenario: A TCP trace is delivered through TUN with the destination replaced
    Given a TUN delivery that replaces the destination by "10.7.0.1"
    When the segments of a TCP trace are delivered and answered
    Then the backend server received them with destination "10.7.0.1" and valid checksums
    And the caller received the answers from the service with valid checksums

  Scenario: A TCP trace is delivered through TUN unchanged
    Given a TUN delivery that keeps the destination
    When the segments of a TCP trace are delivered and answered
    Then the backend server received the segments unchanged
    And the caller received the answers from the service with valid checksums

  Scenario: Replies of unknown flows are dropped and counted
    Given a TUN delivery that keeps the destination
    When the backend server sends a packet of a flow that was closed
    Then 1 drop with the reason "unknown_reply" is counted

  Scenario: The reset of a flow at the backend server has a valid sequence number
    Given a TUN delivery that replaces the destination by "10.7.0.1"
    When the segments of a TCP trace are delivered and answered
    And the flow is reset at the backend server
    Then the backend server receives a reset with the expected sequence number
