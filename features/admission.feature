Feature: Admission of flows while servers are busy

  An agent limits the requests in progress at its server, and those expected from flows
  that it has admitted. It counts them from the packets that it forwards.

  Scenario: Callers arrive simultaneously
    # Guards against a burst of first packets that all pass the limit before the first
    # request arrives, and then queue at the server.
    Given an agent whose idle server has 2 slots
    When 5 first packets arrive at once
    Then 3 of them are admitted and 2 are refused as busy

  Scenario: An admitted caller sends its request
    # Guards against a request that is counted twice, for its first packet and for itself.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and its request arrives
    Then the agent reports 1 request in progress

  Scenario: An admitted caller never sends its request
    # Guards against slots that stay reserved for callers that have given up.
    Given an agent whose idle server has 2 slots
    When 5 first packets arrive at once
    And 0.2 s pass without a request
    And the balancer declines an offered slot
    Then the agent reports 0 requests in progress
    And a further first packet is admitted

  Scenario: A retransmitted request crosses its response
    # Guards against requests that are counted but do not exist: callers retransmit a
    # request that takes longer than their first timeout, and a retransmission that arrives
    # after the response would occupy a slot until it counts as stuck.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and its request arrives
    And the server responds and a retransmission of the request arrives
    Then the agent reports 0 requests in progress
    When the caller sends its next request
    Then the agent reports 1 request in progress

  Scenario: A caller gives up while its first packet waits
    # Guards against slots that are occupied by requests which never end: such a caller
    # sends its request together with a FIN, and the server answers neither.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and its request arrives
    And the server closes the flow without a response
    Then the agent reports 0 requests in progress

  Scenario: A caller ends its flow without a request
    # Guards against slots that stay reserved for a caller that has closed its flow.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and ends its flow
    Then the agent reports 0 requests in progress

  Scenario Outline: Requests on open flows fill the slots
    # Guards against a class that opens a flow for each request and is starved by one with
    # open flows: requests on these are not subject to admission, so a slot rarely becomes
    # free.
    Given an agent whose idle server has 2 slots
    When first packets of the priorities 1 and 2 have arrived
    And <running> requests on open flows are in progress
    Then a first packet of the priority <priority> that is <state> is <outcome>

    Examples:
      | running | priority | state   | outcome  |
      | 2       | 1        | in time | admitted |
      | 2       | 2        | in time | busy     |
      | 2       | 1        | late    | busy     |
      | 4       | 1        | in time | busy     |

  Scenario: Only one class of requests has arrived
    # Guards against longer queues at the server when no class has priority over another.
    Given an agent whose idle server has 2 slots
    When 2 requests on open flows are in progress
    Then a first packet of the priority 1 that is in time is busy

  Scenario: A slot is offered to a class that has priority over others
    Given an agent whose idle server has 2 slots
    When first packets of the priorities 1 and 2 have arrived
    And 4 requests on open flows are in progress
    And a first packet of the priority 1 is refused as busy
    And one of the requests on open flows ends
    Then its balancer is offered a slot
