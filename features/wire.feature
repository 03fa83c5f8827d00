Feature: Messages between agents, balancers and the operator's client

  Guards against malformed or truncated datagrams that crash a daemon or are decoded
  as valid messages.

  Scenario: Every message kind survives encoding and decoding
    When generated messages of every kind are encoded and decoded
    Then each decoded message equals the original

  Scenario: Random bytes are refused
    When 20000 random byte strings are decoded
    Then each gives a message or an error with step "decode message"

  Scenario: Truncated messages are refused
    When a forward is truncated at every length
    Then no truncated forward is decoded as the original
    And a forward truncated in its envelope or flow key is refused

  # Guards against a cached envelope of one service that is used for another.
  Scenario: Forwards with flipped bits are refused or decoded as received
    When generated forwards are encoded, have up to 3 bits flipped and are decoded
    Then each decoded forward ends with the bytes received after its envelope
    And a forward decoded twice gives the same result
