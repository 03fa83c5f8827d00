Feature: Replay of recorded traces

  Guards against broken flows, late or reverted changes, requests that are lost, run
  twice or falsely reported as not run, and overload of backend servers, when the
  decision modules run together under faults.

  Scenario Outline: A recorded trace meets its expectations
    When the trace "<trace>" is replayed
    Then all expectations and invariants are met

    Examples:
      | trace                                        |
      | agents-restarted-in-turn-mia-duong           |
      | agents-restarted-in-turn-tres-lunas          |
      | balancer-death-join-mia-duong                |
      | balancer-death-join-tres-lunas               |
      | cold-start-mia-duong                         |
      | cold-start-tres-lunas                        |
      | cut-repeated-first-packet                    |
      | drain-mia-duong                              |
      | drain-tres-lunas                             |
      | lease-holder-paused-mia-duong                |
      | lease-holder-paused-tres-lunas               |
      | mixed-speeds-false-loads-mia-duong           |
      | mixed-speeds-false-loads-tres-lunas          |
      | mixed-speeds-mia-duong                       |
      | mixed-speeds-tres-lunas                      |
      | new-agent-short-stop                         |
      | new-agent-unknown-flows                      |
      | new-agent-with-one-member                    |
      | new-agent-without-members                    |
      | pair-cut-table-edit-mia-duong                |
      | pair-cut-table-edit-tres-lunas               |
      | pair-drain-cold-mia-duong                    |
      | pair-drain-cold-tres-lunas                   |
      | pair-platform-down-balancer-death-mia-duong  |
      | pair-platform-down-balancer-death-tres-lunas |
      | pair-zone-out-server-death-mia-duong         |
      | pair-zone-out-server-death-tres-lunas        |
      | paused-agent-drain                           |
      | paused-agent-held-first-packet               |
      | paused-agent-and-balancer                    |
      | paused-agent-redirects-lost-again            |
      | paused-home-held-packets                     |
      | paused-agent-platform-down                   |
      | paused-agent-redirects-lost                  |
      | paused-agent-repeated-first-packet           |
      | platform-outage-hour-mia-duong               |
      | platform-outage-hour-tres-lunas              |
      | region-cut-mia-duong                         |
      | region-cut-tres-lunas                        |
      | platform-restored-tres-lunas                 |
      | request-storm-mia-duong                      |
      | request-storm-tres-lunas                     |
      | server-death-mia-duong                       |
      | server-death-tres-lunas                      |
      | silent-flows-mia-duong                       |
      | silent-flows-tres-lunas                      |
      | table-edits-mia-duong                        |
      | table-edits-tres-lunas                       |
      | unannounced-cold-mia-duong                   |
      | unannounced-cold-tres-lunas                  |
      | uneven-network-mia-duong                     |
      | uneven-network-tres-lunas                    |
      | zone-out-in-mia-duong                        |
      | zone-out-in-out-platform-down-mia-duong      |
      | zone-out-in-out-platform-down-tres-lunas     |
      | zone-out-in-tres-lunas                       |
      | zone-cut-agent-paused                        |
      | zone-cut-server-death                        |
      | zone-cut-table-edit                          |
      | zone-cut-zone-out-in                         |
      | zone-out-in-out-uneven-network               |
      | misreported-loads-mia-duong                  |
      | misreported-loads-tres-lunas                 |

  Scenario: Every recorded trace is replayed
    Then each file in "traces" has a row in this feature

  Scenario Outline: Generated pairs of faults
    When <count> histories of pairs of faults with seed <seed> are replayed
    Then all expectations and invariants are met

    Examples:
      | count | seed |
      | 12    | 7    |

  Scenario: Generated histories cover every pair of faults
    Then 136 histories contain each of the 136 pairs of faults once

  Scenario: The same seed gives the same result
    When the trace "drain-mia-duong" is replayed
    And the trace "drain-mia-duong" is replayed again
    Then both results are equal

  Scenario Outline: A fault injected into a module is detected
    When the trace "<trace>" is replayed while <fault>
    Then "<measure>" is reported as not met

    Examples:
      | trace                    | fault                             | measure           |
      | zone-out-in-tres-lunas   | zone marks are ignored            | late_zone_packets |
      | table-edits-tres-lunas   | members are never queried         | broken_flows      |
      | drain-tres-lunas         | a drain is not announced          | late_drain_work   |
      | cold-start-tres-lunas    | cold agents admit every flow      | over_cold_curve   |
      | request-storm-mia-duong  | agents start every request        | over_cap          |
      | zone-out-in-out-platform-down-mia-duong | a replica accepts older versions  | version_reverted  |
      | platform-restored-tres-lunas | versions of two epochs are compared | late_changes |
      | server-death-mia-duong   | an expectation cannot be met      | opened_flows      |

  Scenario Outline: A malformed trace is rejected
    When the trace text "<text>" is read
    Then the error contains "<detail>"

    Examples:
      | text                                                            | detail             |
      | {"time": 1, "place": "trace"                                     | line 1             |
      | {"time": "x", "place": "trace", "event": "end"}                 | line 1             |
      | {"time": 1, "place": "trace", "event": "end"}                   | "expect"           |
      | {"time": 1, "place": "trace", "event": "expect", "measure": "a"} | "end"              |

  Scenario: A failed history is written as a trace that reproduces the failure
    When a history with an expectation that cannot be met is written and read
    Then both replays fail with the same measures
