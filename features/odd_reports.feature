Feature: Reports of other writers to an agent

  Any writer can send a report in the name of an agent's server. One that cannot be of the
  server is refused; one that contradicts the known server is used once it is confirmed.
  A report alone resets no flow.

  Scenario Outline: The known server stays in use while it reports
    # Guards against an agent that takes a report of another writer for a new server, and
    # against resets of flows of the sound server.
    Given an agent with a server that holds 4 flows
    When for 6 s the server reports and another writer reports <contradiction> each <period> s
    Then no caller was reset
    And the agent uses its first server
    And a new flow is admitted

    Examples:
      | contradiction                          | period |
      | another id                             | 0.7    |
      | another id                             | 4      |
      | a later start                          | 0.7    |
      | an earlier start                       | 0.7    |
      | a sequence number of 1000000           | 0.7    |
      | a sequence number of 1000000           | 4      |
      | another id and draining                | 0.7    |
      | another id and a high sequence number  | 0.7    |
      | changing ids                           | 0.3    |

  Scenario Outline: The server's drain takes effect after a report of another writer
    # Guards against reports of the server that are taken for late ones, and new flows
    # after the acknowledgement of its drain.
    Given an agent with a server that holds 4 flows
    When another writer reports <contradiction> once
    And for 2 s the server reports that it drains
    Then a new flow is refused as draining
    And no caller was reset

    Examples:
      | contradiction                         |
      | a sequence number of 1000000          |
      | a slightly higher sequence number     |
      | another id and a high sequence number |
      | a later start                         |

  Scenario: An agent whose first report was of another writer has not seen all flows
    # Guards against a lookup that is denied by the agent of the flow's server.
    Given an agent that has just started beside a server that runs
    When another writer reports another id and cold once
    And for 1 s the server reports
    And a balancer looks up a flow that the agent has not seen
    Then the agent answers that it is unsure

  Scenario Outline: Another server that reports while the known one is not heard resets nothing
    # Guards against resets while the heartbeats of the sound server are refused, and
    # another writer reports in its name.
    Given an agent with a server that holds 4 flows
    When for 12 s only another writer reports <contradiction> each <period> s
    Then no caller was reset
    When the server sends a packet of each flow
    Then the agent uses its first server
    When for 2 s the server reports
    Then the agent uses its first server
    And no caller was reset
    And a new flow is admitted

    Examples:
      | contradiction                          | period |
      | another id                             | 0.7    |
      | a later start                          | 0.7    |
      | an earlier start                       | 5      |
      | another id and a high sequence number  | 0.7    |

  Scenario: One returned packet does not end the other flows
    # Guards against a reset of all flows because of one that the server lost otherwise.
    Given an agent with a server that holds 4 flows
    When for 4 s only another writer reports another id each 0.7 s
    And the server returns packets of 1 flows
    Then no caller was reset
    When the server sends a packet of each flow
    And the server returns packets of 1 flows
    Then no caller was reset
    And the agent uses its first server

  Scenario Outline: A server that was restarted is used at once or after two reports
    # Guards against an agent that waits for a server that is gone.
    Given an agent with a server that holds 4 flows
    When <silence> s after its last report another server reports with <contradiction>
    And for 2 s the other server reports
    Then the agent uses the other server
    And a new flow is admitted

    Examples:
      | silence | contradiction    |
      | 0.05    | another id       |
      | 0.7     | a later start    |
      | 0.7     | an earlier start |
      | 8       | an earlier start |

  Scenario Outline: Flows of a server that was replaced are reset before their next request
    # Guards against a non-idempotent request that is sent on a flow without a server.
    Given an agent with a server that holds 4 flows
    When <silence> s after its last report another server reports with another id
    Then no caller was reset
    When the server returns packets of 2 flows
    Then the callers of the other 2 flows were reset

    Examples:
      | silence |
      | 0.05    |
      | 1       |
      | 3       |

  Scenario: Flows that have ended are not reset with those of a server that was replaced
    # Guards against a reset of an open flow from a port that an ended one had used before.
    # Found by the soak, mix all, seed 202.
    Given an agent with a server that holds 4 flows
    When 1 s after its last report another server reports with another id
    And the caller of the last flow closes it
    And the server returns packets of 2 flows
    Then the caller of the third flow alone was reset

  Scenario: A new server that drains at once gets no flow after two report intervals
    # Guards against new flows after the acknowledgement of a drain.
    Given an agent with a server that holds 4 flows
    When 0.05 s after its last report another server reports with another id and draining
    And 1.2 s pass without a report
    Then a new flow is refused as draining
    And no caller was reset

  Scenario: A cold new server is limited at once
    Given an agent with a server that holds 4 flows
    When 0.05 s after its last report another server reports with another id and cold
    Then the server counts as cold

  Scenario: A delayed report of the former server does not replace its successor
    Given an agent with a server that holds 4 flows
    When 3 s after its last report another server reports with another id
    And the former server's last report arrives again
    Then the agent uses the other server

  Scenario: A server that reports after its shutdown report is used again
    # Guards against a shutdown report of another writer, after which an agent ignored its
    # server for good and deleted its entry.
    Given an agent with a server that holds 4 flows
    When another writer reports the server's shutdown
    Then a new flow is refused as unknown_server
    And the agent publishes an entry
    When for 2.5 s the server reports
    Then a new flow is admitted
    And no caller was reset

  Scenario: A late report after the shutdown report is ignored
    Given an agent with a server that holds 4 flows
    When the server reports its shutdown
    And one late report of it arrives
    Then a new flow is refused as unknown_server
    When nobody listens at the server's address
    Then the agent publishes no entry

  Scenario: The entry of a server that is not heard after its shutdown report is removed
    # Guards against a deleted entry while the server serves its flows, and against one
    # that stays for good.
    Given an agent with a server that holds 4 flows
    When the server reports its shutdown
    And for 5 s the server sends packets
    Then the agent publishes an entry
    When for 5 s the server is silent
    Then the agent publishes no entry

  Scenario Outline: A shutdown report of another server is not of the known one
    Given an agent with a server that holds 4 flows
    Then a shutdown report of <server> with the start <start> is <outcome>

    Examples:
      | server | start   | outcome  |
      | i-1    | unknown | accepted |
      | i-1    | 1000    | accepted |
      | i-1    | 2000    | refused  |
      | i-2    | unknown | refused  |

  Scenario Outline: A heartbeat that the server cannot have sent is refused
    # Guards against an agent that believes reports of another service, or incomplete ones.
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When another writer sends 12 heartbeats with <field> set to <value>
    Then each was answered with 400 and counted as <reason>
    And they were logged in 1 line
    And the entry of the agent is unchanged

    Examples:
      | field      | value             | reason        |
      | State      | 1                 | unknown_state |
      | State      | "gone"            | unknown_state |
      | Slots      | missing           | incomplete    |
      | Slots      | 0                 | malformed     |
      | Slots      | "5"               | malformed     |
      | born       | missing           | no_start      |
      | born       | 0                 | malformed     |
      | born       | 1700000000000.5   | malformed     |
      | Seq        | true              | malformed     |
      | Version    | missing           | incomplete    |
      | ColdLeftMs | missing           | incomplete    |
      | Service    | "other"           | other_service |
      | Service    | ""                | malformed     |
      | Zone       | "zone-b"          | other_zone    |
      | Address    | "127.0.0.1:1"     | other_address |
      | Address    | 7                 | malformed     |
      | id         | ""                | invalid_id    |
      | id         | "a/b"             | invalid_id    |

  Scenario: Repeated refusals are summarised
    Given a log of refused reports
    When 1000 reports are refused for 2 causes within 10 s
    Then they were logged in 2 lines
    When 10 s pass on the clock
    Then the last line says that 998 more were refused

  Scenario: A server of another service is used as soon as the settings name it
    # Guards against a sound server that is refused until the settings are read again.
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When the settings file names the service api
    And a server of api reports
    Then it was answered with 200
    And the agent refuses flows of feed
    When another writer sends 1 heartbeats with Service set to "other"
    Then each was answered with 400 and counted as other_service

  Scenario Outline: Flows survive odd reports and a restarted balancer
    # Guards against a lost entry, and against an agent that gives up its server's flows.
    Given a store with 2 balancers
    And an agent in zone-a with a server
    And an agent in zone-b with a server
    And callers open 20 flows and send a request on each
    When for 4 s <event> at each agent, while the callers send requests
    And each balancer is replaced
    And the callers send a request on each flow
    Then no caller got a reset
    And all requests of the last round are answered

    Examples:
      | event                                                |
      | the server's reports are odd                         |
      | the server's reports are odd and another one reports |
      | another server reports                               |
      | another writer reports the shutdown                  |

  Scenario: The entry of a server that exits after its shutdown report is removed
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When the server reports its shutdown and exits
    Then its entry is removed

  Scenario: An agent that is stopped right after its server's shutdown removes the entry
    # Guards against entries of VMs that do not return, which no other process removes.
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When the server reports its shutdown and exits
    And the agent is stopped before it has noticed the exit
    Then its entry is removed

  Scenario Outline: A late report does not take back the server's drain
    # Guards against new flows after the acknowledgement of a drain, because a report from
    # before it arrives when the server has not been heard for some intervals.
    Given an agent with a server that holds 4 flows
    When for 2 s the server reports that it drains
    And <silence> s pass at the agent
    And the server sends a packet of each flow
    And a report of the server from before its drain arrives
    Then a new flow is refused as draining

    Examples:
      | silence |
      | 0.5     |
      | 2.5     |

  Scenario: A server of another service at the same address gets no flow of the former one
    # Guards against requests that are run by another service (ROUTE) after the report of
    # a server which replaced the known one without its shutdown report.
    Given an agent with a server that holds 4 flows
    When 0.7 s after its last report another server reports with another service
    Then a new flow is refused as wrong_service

  Scenario Outline: A drain holds although another writer reports that the server is ready
    # Guards against new flows after the acknowledgement of a drain.
    Given an agent with a server that holds 4 flows
    When for 12 s the server reports that it drains, and another writer that it is ready each <period> s
    Then no new flow was admitted later than 3 s after the first of these reports

    Examples:
      | period |
      | 0.7    |
      | 5      |
