Feature: JSON bodies of the objects on the platform

  Guards against objects that encoding and decoding change, and against malformed bodies
  that crash a node.

  Scenario: Objects survive encoding and decoding
    When generated objects of every type are encoded and decoded
    Then each decoded object equals the original apart from a version that the platform assigns

  Scenario: Malformed bodies are refused
    When malformed bodies are decoded
    Then each gives an error with step "decode object"

  Scenario: Bodies with values out of range are refused
    # Guards against errors at each message or decision because of one object of another
    # writer.
    When bodies with values out of range are decoded
    Then each gives an error with step "decode object"
    And each body without such a value is decoded
