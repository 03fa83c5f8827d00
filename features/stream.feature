Feature: Length-prefixed envelopes over TCP

  Guards against a peer that crashes or blocks a daemon with an unbounded frame or
  malformed bytes, or by not reading.

  Scenario: Messages arrive complete and in order, also during a stop
    Guards against frames that are interleaved or lost when a peer reads slowly.
    Given a stream server
    When a peer that reads slowly requests 50 responses of 200000 bytes and the server stops
    Then it reads 50 complete responses in order

  Scenario Outline: A connection that carries <bytes> is closed and others are not affected
    Given a stream server
    When a peer sends <bytes>
    Then its connection is closed
    And another peer still gets a response

    Examples:
      | bytes                  |
      | a length of 4294967295 |
      | a malformed envelope   |
      | half a frame           |

  Scenario: A failure to connect is reported
    Guards against an error that does not name its step and peer.
    Given an address without a listener
    When a message is sent there
    Then an error with step "connect" and peer "s9" is reported

  Scenario: A message above the size limit is refused
    Given a stream server
    When a message of 17000000 bytes is sent
    Then it is refused with step "build frame" and peer "s0"

  Scenario: A peer that does not read does not block its sender
    Guards against a daemon that waits for a single peer.
    Given a stream server
    When a peer that does not read is sent more than its connection buffers
    Then sending ends with step "send frame"
