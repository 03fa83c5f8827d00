Feature: JSON bodies of the platform's objects

  Guards against objects that change on their way through the platform, and against a
  malformed body that stops a node.

  Scenario: Objects survive encoding and decoding
    When generated objects of every kind are written and read
    Then each read object equals the written one apart from the platform's version

  Scenario: Malformed bodies are refused
    When malformed bodies are read
    Then each gives an error with step "decode object"
