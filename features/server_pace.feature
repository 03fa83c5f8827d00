Feature: Pace of a server that has started or recovered

  An agent learns from the answers of its server how many requests in progress it answers
  in time. The limit starts at 1 and is at most 3 per slot; balancers hear the share of
  the full pace. Each server has 1 slot, and answers are in time within 0.1 s.

  Scenario: A server that has just started is flooded
    # Guards against a server that gets the work of a warm one before its first answer.
    Given a server that has just started
    Then its limit is 1
    When it answers 2 requests in 0.025 s each
    Then its limit is 3 and its pace is full

  Scenario: A recovered server stays idle
    # Guards against a server that is avoided long after it has recovered: a fixed time
    # or penalty does not end with the answers that show it.
    Given a server at its full pace
    When it is silent
    Then its limit is 1
    When it answers 2 requests in 0.025 s each
    Then its limit is 3 and its pace is full

  Scenario: A server is slow for good
    # Guards against a queue in front of a slow server: its answers take too long with
    # any second request in progress.
    Given a server at its full pace
    When it answers 60 requests in 0.09 s each
    Then its limit is below 2
    When it answers 60 requests in 0.4 s each
    Then its limit is 1

  Scenario: A server is slow for a while
    # Guards against a limit that stays low after the server has become fast again.
    Given a server at its full pace
    When it answers 60 requests in 0.4 s each
    And it answers 60 requests in 0.025 s each
    Then its limit is 3 and its pace is full

  Scenario: A queue in front of a fast server
    # Guards against a limit that falls because answers wait for each other: with 3 in
    # progress, each takes three times as long.
    Given a server at its full pace
    When it answers 60 requests in 0.075 s each, with 3 in progress
    Then its limit is 3 and its pace is full

  Scenario: A server rejects requests when its queue is full
    # Guards against rejections that are taken for fast answers and raise the limit.
    Given a server at its full pace
    When it answers 1 requests in 0.002 s each, with 3 in progress
    Then its limit is 1.5
    And the change is "lowered" with the reason "rejected"

  Scenario: A server goes down and up by turns
    # Guards against new flows for a server that resets requests at once: it has none in
    # progress, so it looks idle.
    Given a server at its full pace
    When 3 requests end without a response, 0.2 s apart
    Then its share is below 0.1
    When it is replaced
    Then its share is below 0.1
    When 6 s pass without a request to the server
    Then its share is at least 0.3

  Scenario: Requests fail together
    # Guards against a server that is avoided for long after a single fault.
    Given a server at its full pace
    When 3 requests end without a response, 0 s apart
    Then its share is at least 0.16
    When it answers 2 requests in 0.025 s each
    Then its limit is 3 and its pace is full

  Scenario: A server is replaced
    # Guards against a new server that is given the work which the former one could do.
    Given an agent at the full pace of its server
    When a server with another identifier reports in its place
    Then the agent reports a pace of 0.33

  Scenario: An agent restarts beside a busy server
    # Guards against a warm server that is taken for a cold one: what was learnt is lost,
    # and the next answers restore it.
    Given an agent at the full pace of its server
    When the agent restarts
    Then the agent reports a pace of 0.33
    When 2 requests are answered in 0.025 s
    Then the agent reports a pace of 1

  Scenario: A server closes a flow in order before it responds
    # Guards against a pace that falls although the server works: some requests are not
    # meant to be answered.
    Given an agent at the full pace of its server
    When its server closes 3 flows with a request in progress
    Then the agent reports a pace of 1
    And nothing about the pace is counted or logged

  Scenario Outline: The pace is switched off
    # Guards against other deployments: without the option, or with larger servers, load
    # reports and limits are those of before.
    Given an agent with a <slots>-slot server and max_slots <max_slots>
    When 2 requests are answered in 0.025 s
    And 3 requests end without a response
    Then the agent reports a pace of 0
    And its load report has as many bytes as without a pace
    And nothing about the pace is counted or logged

    Examples:
      | slots | max_slots |
      | 1     | 0         |
      | 2     | 1         |

  Scenario: A server becomes cold, as after an evacuation that is taken back
    # Guards against the pace of the warm server, and against one that admits more flows
    # to a cold server than the configuration allows.
    Given an agent at the full pace of its server
    When its server reports that it is cold
    Then the agent reports a pace of 0.33
    When 5 first packets arrive in a second at a cold rate of 2
    Then 2 of them are admitted

  Scenario: Flows are admitted up to the pace
    # Guards against limits by slots beside servers that answer several requests in time.
    Given an agent at the full pace of its server
    When 1 requests are in progress
    Then the agent accepts flows
    When 2 requests are in progress
    Then the agent does not accept flows

  Scenario Outline: A balancer chooses among servers of different pace
    # Guards against a server that is chosen because it has nothing in progress, and
    # against one that is avoided while the others are busier than its pace makes it.
    Given two idle members of pace <pace> and 1, of which the second has <load> in progress
    Then the second member is chosen "<choice>"

    Examples:
      | pace | load | choice |
      | 0.08 | 0.3  | True   |
      | 0.33 | 0.0  | True   |
      | 0.33 | 0.9  | False  |

  Scenario: Changes of the pace are logged
    # Guards against a log that grows with the requests: a server whose pace goes up and
    # down all the time is logged at most once a second for each outcome.
    Given an agent at the full pace of its server
    When its server fails and answers by turns 50 times within a second
    Then at most 3 log lines tell of the pace
    And at least 50 changes are counted

  Scenario: Malformed paces are refused
    # Guards against a member that is chosen always or never because of a damaged report.
    Then a load report with a pace of 0.5 is the same after encoding and decoding
    And a pace of nan, inf, -1 or 1.5, or a truncated one, is refused

  Scenario: Servers go down and up by turns in a modelled deployment
    # Guards against new flows for servers that are about to fail again: without the
    # pace, a quarter more requests are lost.
    When the pattern "down and up" runs without and with the pace
    Then at most 0.8 of the requests are lost

  Scenario Outline: Servers recover together in a modelled deployment
    # Guards against a release of many at once that floods or idles the new servers, and
    # against a service that starves while all of its servers start at one request.
    When the pattern "<pattern>" runs without and with the pace
    Then the share of requests in time falls by at most 0.005

    Examples:
      | pattern           |
      | return of a third |
      | return of all     |
