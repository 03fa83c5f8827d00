Feature: Who is admitted while servers are busy

  An agent bounds the requests in progress at its server, which it counts from the
  packets that pass.

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
