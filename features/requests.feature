Feature: Requests

  Guards against requests that run twice, are lost, or are reported as "not run" although
  they ran, and against responses that are sent for another request.

  Scenario Outline: The ledger answers <events> with <actions>
    # Events for the ledger, all with its one ticket unless stated otherwise:
    # run, long run, other body: a request to run with a deadline of 30 s, with one of
    #   600 s, and with 30 s and a different body
    # fetch, fence, cancel: the messages of these names
    # done, shed, failed: how the backend server's part of the request ended
    # fill, empty: as many other requests as the cap start, and end
    # new: a new ticket replaces the one ticket
    # forge: the last byte of the ticket is changed
    # other agent, other incarnation: a ticket of another agent or incarnation
    # upgrade: the ledger is exported and imported by a new process
    # zone out, zone in: the zone is taken out of service, and back
    # drain, stop: the agent drains or stops; wait: time passes, in seconds
    # Actions: start, stop: the request is sent to the backend server, or cancelled there;
    # the others are replies.
    Given a ledger with a cap of 3 and one ticket
    When the ledger handles <events>
    Then the returned actions are <actions>

    Examples: Guards against a second run of one ticket
      | events                    | actions                                         |
      | run, run, done            | start, answer, answer                           |
      | run, done, run, fetch     | start, answer, answer, answer                   |
      | run, done, done, shed     | start, answer                                   |
      | run, failed, run          | start, failed unknown, failed unknown           |
      | run, done, wait 200, run  | start, answer, answer                           |
      | run, other body, done     | start, body_mismatch unknown, answer            |
      | run, wait 31, done, fetch | start, stop, deadline unknown, deadline unknown |
      | run, stop, done, fetch    | start, stop, stopping unknown, stopping unknown |

    Examples: Guards against a false "not run"
      | events                        | actions                                                              |
      | fence, run                    | fenced not_run, fenced not_run                                       |
      | run, fence, done              | start, fenced unknown, answer                                        |
      | run, done, fence              | start, answer, fenced unknown                                        |
      | run, shed, fence, run         | start, shed not_run, fenced not_run, shed not_run                    |
      | cancel, run                   | cancelled not_run, cancelled not_run                                 |
      | run, cancel, done, run        | start, stop, cancelled unknown, cancelled unknown, cancelled unknown |
      | run, cancel, shed, run        | start, stop, cancelled unknown, cancelled unknown, cancelled not_run |
      | run, done, cancel             | start, answer, done unknown                                          |
      | fetch, run                    | not_started unknown, start                                           |
      | wait 2, fill, run, empty, run | cap not_run, cap not_run                                             |
      | wait 2, drain, run, run       | draining not_run, draining not_run                                   |
      | drain, run                    | start                                                                |
      | zone out, run, zone in, run   | zone_out not_run, zone_out not_run                                   |

    Examples: Guards against false answers after a ledger entry has expired
      | events                        | actions                                            |
      | wait 60, run, fence           | expired not_run, expired not_run                   |
      | long run, wait 400, done, run | start, answer, answer                              |
      | run, done, wait 361, run      | start, answer, forgotten unknown                   |
      | wait 361, fence               | forgotten unknown                                  |
      | wait 3600, wait 361, run      | key_gone unknown                                   |
      | forge, run, fence             | forged unknown, forged unknown                     |
      | other agent, run              | wrong_agent unknown                                |
      | other incarnation, run, fence | incarnation_gone unknown, incarnation_gone unknown |

    Examples: Guards against an agent upgrade that loses the record of requests that ran
      | events                         | actions                        |
      | run, done, upgrade, run, fetch | start, answer, answer, answer  |
      | fence, upgrade, run            | fenced not_run, fenced not_run |
      | run, upgrade, run              | start, agent_restarted unknown |
      | upgrade, run                   | start                          |

  Scenario Outline: The dispatcher answers <events> with <actions>
    # Events for the dispatcher:
    # post, idempotent: a request with a deadline of 3 s, the second one idempotent
    # reserve: a call for a ticket
    # reserved, refused, shed, failed, not_started, fenced, running, answer: messages of
    #   the agent; running replies to a fence that the request has started
    # mismatched, truncated, corrupt: an answer with another ticket, a body that is too
    #   short, or a body that does not match its digest
    # wait: 1 s passes; near_deadline, deadline: 2.95 s and 3 s after the start
    Given a dispatcher with 2 agents and a retry budget of 100 earlier requests
    When the dispatcher handles <events>
    Then the returned actions are <actions>

    Examples: Guards against a retry that could run a request twice
      | events                                      | actions                            |
      | post, reserved, answer                      | reserve, run, 200                  |
      | post, refused, wait                         | reserve, reserve                   |
      | post, refused, wait, refused                | reserve, reserve, 503 not_run      |
      | post, reserved, shed, wait                  | reserve, run, reserve              |
      | post, reserved, failed                      | reserve, run, 502 unknown          |
      | idempotent, reserved, failed, wait          | reserve, run, reserve              |
      | post, reserved, agent_restart               | reserve, run, 502 unknown          |
      | idempotent, reserved, agent_restart, wait   | reserve, run, reserve              |
      | post, reserved, zone_out                    | reserve, run, 502 unknown          |
      | post, agent_restart, wait                   | reserve, reserve                   |
      | post, agent_disconnect, wait                | reserve, reserve                   |
      | post, reserved, wait, not_started           | reserve, run, fetch, run           |
      | idempotent, reserved, failed, wait, refused | reserve, run, reserve, 502 unknown |

    Examples: Guards against replies that are late, mismatched or not final
      | events                                         | actions                                  |
      | post, reserved, near_deadline, fenced          | reserve, run, fence, 504 not_run         |
      | post, reserved, near_deadline, running, answer | reserve, run, fence, 200                 |
      | post, reserved, near_deadline, deadline        | reserve, run, fence, cancel, 504 unknown |
      | post, deadline                                 | reserve, 504 not_run                     |
      | post, reserved, mismatched, answer             | reserve, run, 200                        |
      | post, reserved, truncated, answer              | reserve, run, 200                        |
      | post, reserved, corrupt, answer                | reserve, run, 200                        |
      | post, reserved, answer, answer                 | reserve, run, 200                        |
      | post, reserved, caller_disconnect, answer      | reserve, run, cancel                     |
      | post, caller_disconnect, reserved              | reserve, cancel                          |
      | reserve, reserved, reserved                    | reserve, 201                             |

  Scenario: A changed ticket is never accepted
    Guards against forged tickets.
    Given a ledger with a cap of 3 and one ticket
    When any single byte of the ticket is modified
    Then no modified ticket is accepted

  Scenario: The keys of tickets rotate
    Guards against a ticket that is refused because its key was dropped too early after
    a rotation.
    Given a ledger with a cap of 3 and one ticket
    When the ledger handles wait 3590, new, wait 59, run
    Then the returned actions are start

  Scenario: Requests under every fault run at most once
    Guards against duplicate runs, lost requests and false reports that occur only under
    combined faults. Set BRAMLEYSTAIR_HISTORIES=100 to run 100,000 requests instead of
    20,000.
    When histories of 1000 requests each run with all faults
    Then no request was lost, ran twice, or was falsely reported
    And at least half of the 1000 requests in each history ran

  Scenario Outline: Overload at <load> times the capacity
    Guards against goodput that collapses under overload, and against retries that
    amplify the load.
    When <load> times the capacity is offered to <agents> agents through <balancers> balancers
    Then the goodput is at least <goodput> of the capacity
    And at most 0.1 of the requests were retried
    And no request was lost, ran twice, or was falsely reported

    Examples:
      | load | agents | balancers | goodput |
      | 2.0  | 7      | 8         | 0.9     |
      | 4.0  | 4      | 2         | 0.9     |

  Scenario: A cold backend server is not overloaded
    Guards against a backend server that receives its full load right after a start.
    When 4.0 times the capacity is offered to agents that warm up in 20.0 s
    Then the running requests never exceed the cold-start curve

  Scenario: A backend server that sheds at overload is not taken for a cold one
    Guards against agents that restart the warm-up whenever the load is high.
    When 2.0 times the capacity is offered to agents that warm up in 5.0 s without a queue
    Then the agents warmed up and remained warm

  Scenario Outline: After <outcomes> the admitted fraction is <fraction>
    Guards against a backend server that becomes cold again without being detected.
    Given a warm-up limit with an initial fraction of 0.2
    When the limit observes <outcomes>
    Then the admitted fraction is <fraction>

    Examples:
      | outcomes                 | fraction |
      | 20 fast, 20 fast         | 1.0      |
      | 20 fast, 20 slow         | 0.2      |
      | 20 fast, 16 fast, 4 shed | 0.2      |
      | 20 fast, 17 fast, 3 shed | 1.0      |

  Scenario: The memory for responses is bounded
    Guards against retained responses that exhaust the memory of the agent.
    When 100 requests with responses of 1 MB each have ended
    Then at most 64 MB of responses are retained
    And a request whose response was dropped has an unknown outcome
