Feature: Metrics

  Guards against a metrics endpoint that fails after its first response, and against
  counts that are lost when several threads count.

  Scenario: Counters and gauges are reported in each response
    Given a metrics server
    When 8 threads count "packet_refused" with the reason "malformed" 500 times each
    And the gauge "flows" is set to 7 for "feed"
    Then each of 3 responses to "/metrics" has these values
      | name                                                                   | value |
      | bramleystair_packet_refused_total{node="balancer-1",reason="malformed"} | 4000  |
      | bramleystair_flows{node="balancer-1",subject="feed"}                    | 7     |

  Scenario: Durations are reported as a histogram
    # Guards against histogram buckets that are not cumulative.
    Given a metrics server
    When the durations 0.002, 0.002, 0.3 and 9 s of "open" are observed
    Then each of 2 responses to "/metrics" has these values
      | name                                                              | value |
      | bramleystair_open_seconds_bucket{le="0.001",node="balancer-1"}    | 0.0   |
      | bramleystair_open_seconds_bucket{le="0.0025",node="balancer-1"}   | 2.0   |
      | bramleystair_open_seconds_bucket{le="0.5",node="balancer-1"}      | 3.0   |
      | bramleystair_open_seconds_bucket{le="+Inf",node="balancer-1"}     | 4.0   |
      | bramleystair_open_seconds_count{node="balancer-1"}                | 4.0   |

  Scenario: A process that is not ready reports status 503
    Given a metrics server
    When the process is not ready
    Then "/healthz" answers 503

  Scenario: The status can be read by the operators' client
    Given a metrics server
    When 2 threads count "packet_refused" with the reason "malformed" 5 times each
    Then "/status" reports version 3 of "table/feed" and 10 of "packet_refused{malformed}"
