Feature: Order of requests on open flows at a full server

  Callers hold flows open to one server that processes a request in 20 ms and queues 4.
  Urgent requests have priority 1 and others priority 2; both have an objective of 0.3 s.
  Requests of both have arrived shortly before each scenario.

  Scenario: An urgent request arrives behind others
    # Guards against a server that serves in the order of arrival when some wait.
    Given an agent with a request gate
    When 4 other requests arrive
    And 1 urgent request arrives
    Then the server has received 2 other requests and 1 urgent request
    When the server runs for 0.2 s
    Then the server has received 4 other requests and 1 urgent request
    And nothing is held

  Scenario: The pace of the server is known
    # Guards against a gate that holds what the server answers in time, or delivers more.
    Given an agent with a request gate and the pace
    When 5 other requests arrive
    And 1 urgent request arrives
    Then the server has received 3 other requests and 1 urgent request
    When the server runs for 0.2 s
    Then the server has received 5 other requests and 1 urgent request
    And nothing is held

  Scenario: The server's queue is full
    # Guards against urgent requests that the server rejects because others fill its
    # queue; the next free place is theirs.
    Given an agent with a request gate that knows the length of the server's queue
    When the server's queue is filled with other requests
    And 1 urgent request arrives
    Then the urgent request is held
    When the server runs for 0.021 s
    Then the urgent request is delivered
    And no urgent request was rejected

  Scenario: Overload for thirty times the time that the queue takes
    # Guards against urgent requests that are rejected while others are served, tables
    # that grow, and an overload that lasts longer than its cause.
    Given an agent with a request gate that knows the length of the server's queue
    When 20 urgent and 150 other requests per second arrive for 3 s
    Then no urgent request was rejected
    And at least 80 other requests were answered
    And each urgent request was answered within 0.2 s
    And at most 8 requests were held at a time
    And no request was held for more than 0.06 s
    When the server runs for 2.0 s
    Then nothing is held
    And an other request is answered within 0.03 s

  Scenario: Overload without a request gate
    # Shows that the load above makes the server reject urgent requests.
    Given an agent without a request gate
    When 20 urgent and 150 other requests per second arrive for 3 s
    Then some urgent requests were rejected

  Scenario: Urgent requests alone exceed what the server can process
    # Guards against other requests that wait without bound: each is offered to the server
    # within a fifth of its objective.
    Given an agent with a request gate
    When 60 urgent and 10 other requests per second arrive for 3 s
    Then no request was held for more than 0.06 s
    And the server has received each request

  Scenario: The server stops answering
    # Guards against requests that wait for a response which does not come.
    Given an agent with a request gate
    When the server hangs
    And 40 other requests arrive
    Then at most 8 requests were held at a time
    And 30 of them are counted as table_full
    When the server runs for 0.08 s
    Then nothing is held
    And the server's requests were delivered once each

  Scenario: A request with less time left arrives while the table is full
    # Guards against a full table that shuts out what is more urgent.
    Given a full table of held requests with an objective of 1 s
    When a request with an objective of 0.3 s arrives at the table
    Then it is held and the last held request is displaced

  Scenario Outline: An urgent flow is opened at a server full of other requests
    # Guards against a class that opens a flow for each request and is refused because
    # requests on open flows fill the server's queue: its requests overtake them.
    Given an agent <state> a request gate
    When 6 other requests arrive
    Then an urgent flow is <outcome>

    Examples:
      | state   | outcome         |
      | with    | admitted        |
      | without | refused as busy |

  Scenario: Without a request gate, all packets pass at once
    Given an agent without a request gate
    When 9 other requests arrive
    And 1 urgent request arrives
    Then the server has received 9 other requests and 1 urgent request

  Scenario: The level of a route is unknown
    # Guards against requests that are held without a known objective.
    Given an agent with a request gate
    When 9 requests of an unknown route arrive
    Then nothing is held

  Scenario: A caller has waited before its flow was admitted
    # Guards against a wait in two parts, each of which is short enough.
    Given an agent with a request gate
    When a flow is admitted whose caller waited 0.08 s
    And 3 other requests arrive
    And its caller sends the first request
    Then the server has received its request

  Scenario: A caller retransmits a held request
    # Guards against a request that the server runs twice.
    Given an agent with a request gate
    When the server hangs
    And 3 other requests arrive
    And the last caller sends its packet again
    And the server runs for 0.08 s
    Then the server's requests were delivered once each

  Scenario: A request has several packets and its caller closes the flow
    # Guards against packets that overtake each other, and delayed acknowledgements.
    Given an agent with a request gate
    When the server hangs
    And 3 other requests arrive
    And the last caller sends an acknowledgement, a second packet and a FIN
    Then the acknowledgement, the request, the second packet and the FIN are delivered

  Scenario: A caller resets a flow whose request is held
    # Guards against requests that run for a caller that has gone, and silent losses.
    Given an agent with a request gate
    When the server hangs
    And 3 other requests arrive
    And the last caller resets its flow
    Then nothing is held
    And the last request is discarded with a counter and a log line

  Scenario: The agent is killed while it holds a request
    # Guards against held requests that are lost with the agent, or run twice.
    Given an agent with a request gate
    When 3 other requests arrive
    And the agent is replaced by a new process
    And the server runs for 0.2 s
    And the last caller sends its packet again
    Then the server's requests were delivered once each

  Scenario: A new agent does not know which flows its server holds
    # Guards against a held packet that would show that the server has lost its flow.
    Given an agent with a request gate
    When the agent is replaced by a new process
    And a flow is admitted whose caller waited 0 s
    And 4 other requests arrive
    Then the server's requests were delivered once each

  Scenario Outline: Planned work while requests are held
    # Guards against held requests that outlast the process or the server.
    Given an agent with a request gate
    When 4 other requests arrive
    And the <event>
    And the server runs for <seconds> s
    Then nothing is held
    And the server's requests were delivered once each
    And no caller with a held request was reset

    Examples:
      | event                        | seconds |
      | agent is stopped as planned  | 0.0     |
      | server reports that it exits | 0.0     |
      | server drains                | 0.08    |

  Scenario: The server is replaced while requests are held
    # Guards against requests that are kept from callers whose server has gone.
    Given an agent with a request gate
    When another server is about to replace the server
    And 4 other requests arrive
    And another server reports instead of it
    Then nothing is held
    And the balancer gets back the packets of 2 flows, which are not reset

  Scenario: A message with an impossible objective
    # Guards against requests that are held forever.
    Then a first packet with an objective or a wait of nan, inf or -1 is refused
    And a first packet with an objective that is cut before its end is refused

  Scenario: A first packet without an objective
    # Guards against nodes that do not understand each other while the gate is off.
    Then a first packet without times is encoded as before the request gate

  Scenario Outline: A balancer tells the times of a new flow where the gate applies
    # Guards against agents without the gate that get messages of a kind unknown to them.
    Given a balancer whose request gate applies beside servers of up to <slots> slots
    When a first packet arrives for a member with 2 slots
    Then the agent is told <objective> s as objective

    Examples:
      | slots | objective |
      | 2     | 0.15      |
      | 1     | 0         |
      | 0     | 0         |
