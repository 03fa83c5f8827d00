Feature: Messages between the system's own processes

  Guards against a malformed or truncated datagram that stops a daemon or is taken
  for a valid message.

  Scenario: Every message kind survives encoding and decoding
    When generated messages of every kind are encoded and decoded
    Then each decoded message equals the original

  Scenario: Random bytes are refused
    When 20000 random byte strings are decoded
    Then each gives a message or an error with step "decode message"

  Scenario: Truncated messages are refused
    When generated forwards are cut at every length
    Then no cut forward is decoded as the original
    And a forward cut in its envelope or flow key is refused

  # Guards against an envelope kept for one service that is used for another.
  Scenario: Forwards with changed bytes are refused or read as sent
    When generated forwards are encoded, changed by a few bits and decoded
    Then each decoded forward has the bytes after its envelope
    And a forward decoded twice is the same
