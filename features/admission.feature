Feature: Who is admitted while servers are busy

  An agent bounds the requests in progress at its server, and those expected of flows
  that it has admitted. It counts them from the packets that pass.

  Scenario: Callers that arrive together
    # Guards against a burst of first packets that all pass the limit before the first
    # request arrives, and then queue at the server.
    Given an agent whose idle server has 2 slots
    When 5 first packets arrive at once
    Then 3 of them are taken and 2 are refused as busy

  Scenario: A caller that was admitted sends its request
    # Guards against a request that counts twice, for its first packet and for itself.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and its request arrives
    Then the agent reports 1 request in progress

  Scenario: A caller that was admitted never sends its request
    # Guards against slots that stay taken by callers which have given up.
    Given an agent whose idle server has 2 slots
    When 5 first packets arrive at once
    And 0.2 s pass without a request
    And the balancer has no more callers that wait
    Then the agent reports 0 requests in progress
    And a further first packet is taken

  Scenario: A copy of a request crosses its response
    # Guards against requests that were never made: callers repeat a request that takes
    # longer than their first timeout, and a copy that arrives after the response would
    # take a slot until it counts as stuck.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and its request arrives
    And the server responds and a copy of the request arrives
    Then the agent reports 0 requests in progress
    When the caller sends its next request
    Then the agent reports 1 request in progress

  Scenario: A caller gives up while its first packet waits
    # Guards against slots that are taken by requests which never end: such a caller sends
    # its request together with the end of the flow, and the server answers neither.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and its request arrives
    And the server closes the flow without a response
    Then the agent reports 0 requests in progress

  Scenario: A caller ends its flow without a request
    # Guards against slots that are kept for a caller which says that it has gone.
    Given an agent whose idle server has 2 slots
    When a caller is admitted and ends its flow
    Then the agent reports 0 requests in progress

  Scenario Outline: Requests on open flows fill the slots
    # Guards against a class with a flow for each request that starves behind another one:
    # requests on open flows pass no admission, so that a slot hardly ever gets free.
    Given an agent whose idle server has 2 slots
    When first packets of the priorities 1 and 2 have come
    And <running> requests on open flows run
    Then a first packet of the priority <priority> that is <state> is <outcome>

    Examples:
      | running | priority | state   | outcome |
      | 2       | 1        | in time | taken   |
      | 2       | 2        | in time | busy    |
      | 2       | 1        | late    | busy    |
      | 4       | 1        | in time | busy    |

  Scenario: Only one class of requests has come
    # Guards against longer queues at the server where no class waits behind another one.
    Given an agent whose idle server has 2 slots
    When 2 requests on open flows run
    Then a first packet of the priority 1 that is in time is busy

  Scenario: A slot is offered to a class that precedes others
    Given an agent whose idle server has 2 slots
    When first packets of the priorities 1 and 2 have come
    And 4 requests on open flows run
    And a first packet of the priority 1 is refused as busy
    And one of the requests on open flows ends
    Then its balancer is offered a slot
