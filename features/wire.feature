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

  # Guards against a fast path for forwards that accepts or writes other bytes than the
  # library of the format.
  Scenario: Forwards are written and read as the library does
    When generated forwards are encoded, changed by a few bits and decoded
    Then the bytes equal the library's
    And what the fast path reads equals what the library reads
