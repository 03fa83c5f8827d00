Feature: Envelopes over TCP

  Guards against a peer that stops a daemon: by a frame without bounds, by malformed
  bytes, or by reading nothing.

  Scenario: Messages arrive whole and in order, also through a stop
    Guards against frames that are mixed or lost when a peer reads slowly.
    Given a stream server
    When a peer that reads slowly asks for 50 answers of 200000 bytes and the server stops
    Then it reads 50 whole answers in order

  Scenario Outline: A connection with <bytes> is closed and others go on
    Given a stream server
    When a peer sends <bytes>
    Then its connection is closed
    And another peer still has an answer

    Examples:
      | bytes                  |
      | a length of 4294967295 |
      | a malformed envelope   |
      | half a frame           |

  Scenario: A peer that can't be reached is reported
    Guards against an error without its step and peer.
    Given an address without a listener
    When a message is sent there
    Then an error with step "connect" and peer "s9" is reported

  Scenario: A message above the bound is refused
    Given a stream server
    When a message of 17000000 bytes is sent
    Then it is refused with step "build frame" and peer "s0"

  Scenario: A peer that reads nothing does not block its sender
    Guards against a daemon that waits for one peer.
    Given a stream server
    When more is sent to a peer that reads nothing than its connection holds
    Then sending ends with step "send frame"
