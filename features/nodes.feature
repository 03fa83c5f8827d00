Feature: Event loop, HTTP, snapshots and logs of nodes

  Scenario: An exception in a handler does not end the process
    # Guards against one faulty event that breaks the flows of all callers.
    Given an event loop
    When a timer raises an exception before another timer is due
    Then the other timer ran and 1 failure was counted

  Scenario: A signal is handled on the event loop
    Given an event loop
    When the process receives SIGHUP
    Then its handler ran

  Scenario: Sequential calls reuse a connection
    Given an event loop
    And an HTTP server on it that echoes request bodies
    When 5 calls are made in sequence
    Then all 5 bodies are echoed over 1 connection

  Scenario: A large response arrives complete
    # Guards against truncation of a response that exceeds the socket's send buffer.
    Given an event loop
    And an HTTP server on it that answers with 3000000 bytes
    When 1 calls are made in sequence
    Then the response has 3000000 bytes

  Scenario: A call to a server that does not answer times out
    Given an event loop
    And a port that accepts connections but does not answer
    When a call with a timeout of 0.2 s is made
    Then it fails with "timeout"

  Scenario: A call to a closed port fails
    Given an event loop
    And a port without a listener
    When a call with a timeout of 2.0 s is made
    Then it fails with a reason
    And the connection was refused

  Scenario: Malformed requests only close their own connection
    Given an event loop
    And an HTTP server on it that echoes request bodies
    When 50 random byte strings are sent to it
    And 1 calls are made in sequence
    Then all 1 bodies are echoed over 1 connection

  Scenario: A balancer that starts during an outage of the store asks a peer
    # Guards against a restarted balancer that drops packets until the store is back.
    Given an event loop
    And a peer that holds 2 members and a peer that is down
    When a balancer starts while the store does not answer
    Then it holds 2 members within 2 s

  Scenario Outline: A balancer that gets an odd snapshot asks another peer
    # Guards against a balancer that asks no other peer after an unexpected error.
    Given an event loop
    And a peer that holds 2 members and a peer with the snapshot <snapshot>
    When a balancer starts while the store does not answer
    Then it holds 2 members within 2 s

    Examples:
      | snapshot                            |
      | []                                  |
      | {"members": [[]]}                   |
      | {"members": [["m", 1e999, {}]]}     |
      | {"members": [["m", -1, {}]]}        |
      | {"members": [[7, 1, {}]]}           |
      | {"members": {"m": 1}}               |
      | nested                              |

  Scenario: A peer's snapshot does not replace a listing
    Given an event loop
    And a peer that holds 2 members and a peer that is down
    When a balancer that has listed 3 members receives the peer's snapshot
    Then it still holds 3 members

  Scenario: Log lines of each kind are rate-limited
    # Guards against logging that takes up the processor under load.
    Given a decision log
    When 1000 decisions of one kind and 1 of another are recorded within a second
    Then 20 lines of the first kind and 1 of the other are logged
    And a line in the next second counts 980 suppressed lines

  Scenario: Log output that nobody reads does not block
    Given a pipe that nobody reads
    When 2000 log lines are written to it
    Then the writer was not blocked and lines were dropped

  Scenario Outline: A node loads no modules that its start does not need
    # Guards against a longer time until callers are served after a loss of power: all
    # processes start at once, with little processor time.
    When the modules of a <role> are loaded by a new process
    Then none of these is loaded: <unneeded>

    Examples:
      | role     | unneeded                                                             |
      | balancer | pathlib, urllib.parse, ipaddress, pythonjsonlogger, asyncio, ssl     |
      | balancer | bramleystair.metrics._status, bramleystair.metrics._server           |
      | balancer | bramleystair.steering._agent, bramleystair.nodes._agent              |
      | agent    | pathlib, urllib.parse, ipaddress, pythonjsonlogger, asyncio, ssl     |
      | agent    | bramleystair.metrics._status, bramleystair.metrics._server           |
      | agent    | bramleystair.steering._balancer, bramleystair.steering._rosters      |
