Feature: HTTP client of the backend server, and the stand-in backend server

  Guards against outcomes that are mistaken for others: only an explicit refusal, or a
  connection that could not be opened, means that the request was not run.

  Scenario Outline: A run with <setting> is reported as <outcome>
    Given a backend server with <setting>
    When a request with a deadline of <deadline> ms runs
    Then the outcome is <outcome>
    And the backend server started it <starts> times

    Examples:
      | setting                              | deadline | outcome                        | starts |
      | {}                                   | 5000     | Responded 200                  | 1      |
      | {"is_draining": true}                | 5000     | Shed shed                      | 0      |
      | {"shed_fraction": 1.0}               | 5000     | Shed shed                      | 0      |
      | {"slots": 0, "queue_length": 0}      | 5000     | Shed shed                      | 0      |
      | {"slots": 0}                         | 100      | Shed shed                      | 0      |
      | {"service_time_s": 60}               | 100      | Failed deadline                | 1      |
      | {"cold_factor": 1e6, "cold_s": 1e6}  | 100      | Failed deadline                | 1      |
      | {"response_bytes": 100001}           | 5000     | Failed response_too_large      | 1      |

  Scenario Outline: A connection that <fault> is reported as <outcome>
    Given a listener that <fault>
    When a request with a deadline of 300 ms runs
    Then the outcome is <outcome>

    Examples:
      | fault                      | outcome                        |
      | is closed                  | Shed backend_unreachable       |
      | closes after the request   | Failed backend_connection_lost |
      | closes within the response | Failed backend_connection_lost |
      | never answers              | Failed deadline                |

  Scenario: A running request is cancelled
    Given a backend server with {"service_time_s": 60}
    When a request runs and is cancelled
    Then the outcome is Responded 409

  Scenario Outline: Health and load with <setting> are reported as <health> and <load>
    Given a backend server with <setting>
    Then its health is <health> and its load is <load>

    Examples:
      | setting                                     | health | load  |
      | {}                                          | True   | 0 0 3 |
      | {"is_draining": true}                       | False  | 0 0 3 |
      | {"is_draining": true, "health": "ok"}       | True   | 0 0 3 |
      | {"health": "bad", "slots": 5}               | False  | 0 0 5 |

  Scenario: The stand-in reports a false load if configured to
    Given a backend server with {"service_time_s": 60, "load_factor": 3.0}
    When a request runs and its load is read
    Then its reported load is 3 0 3

  Scenario: The stand-in refuses an unknown setting
    Given a backend server with {}
    Then the control endpoint refuses "slot" and names "slots"

  Scenario: Datagrams are answered, and feeds sent as several datagrams
    Given a backend server with {}
    When the datagrams "a", "b" and "feed 3 10" are sent
    Then the answers are "s0 sheets 1 a", "s0 sheets 2 b", "s0 sheets 3 feed", "s0 sheets 4 feed", "s0 sheets 5 feed"
