Feature: Event loop, HTTP and copies between nodes

  Scenario: A handler that fails does not end the process
    # Guards against one bad event that ends the flows of all others.
    Given an event loop
    When a timer raises an error before another timer is due
    Then the other timer ran and 1 failure was counted

  Scenario: A signal is handled on the loop
    Given an event loop
    When the process receives SIGHUP
    Then its handler ran

  Scenario: Calls reuse a connection
    Given an event loop
    And an HTTP server on it that echoes
    When 5 calls are made one after the other
    Then all 5 are answered with their bodies over 1 connection

  Scenario: A large response arrives whole
    # Guards against a response that fills the socket's buffer and is cut.
    Given an event loop
    And an HTTP server on it that answers with 3000000 bytes
    When 1 calls are made one after the other
    Then the response has 3000000 bytes

  Scenario: A server that does not answer fails the call in time
    Given an event loop
    And a port that accepts connections and stays silent
    When a call with a limit of 0.2 s is made
    Then it fails with "timeout"

  Scenario: A closed port fails the call
    Given an event loop
    And a port that nobody listens on
    When a call with a limit of 2.0 s is made
    Then it fails with a reason
    And it was refused

  Scenario: Malformed requests end their connection only
    Given an event loop
    And an HTTP server on it that echoes
    When 50 random byte strings are sent to it
    And 1 calls are made one after the other
    Then all 1 are answered with their bodies over 1 connection

  Scenario: A balancer that starts while the store is away asks a peer
    # Guards against restarted balancers that drop packets until the store is back.
    Given an event loop
    And a peer that holds 2 members and a dead peer
    When a balancer starts while the store is away
    Then it holds 2 members within 2 s

  Scenario: A peer's copy does not replace a listing
    Given an event loop
    And a peer that holds 2 members and a dead peer
    When a balancer that has listed 3 members receives the peer's copy
    Then it still holds 3 members

  Scenario: Log lines are bounded for each kind
    # Guards against logs that take the processor under load.
    Given a decision journal
    When 1000 decisions of one kind and 1 of another are recorded within a second
    Then 20 lines of the first kind and 1 of the other are written
    And the next second tells that 980 were left out

  Scenario: Lost output does not block
    Given a pipe that nobody reads
    When 2000 log lines are written to it
    Then the writer was not blocked and lines were dropped
