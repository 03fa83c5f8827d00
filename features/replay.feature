Feature: Replay of recorded traces

  Guards against broken flows, late or reverted changes, requests that are lost, run
  twice or falsely reported as not run, and work that a backend server cannot handle,
  when the decision modules run together under faults.

  Scenario Outline: A recorded trace keeps its stated outcomes
    When the trace "<trace>" is replayed
    Then its stated outcomes and all invariants are kept

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
    Then their stated outcomes and all invariants are kept

    Examples:
      | count | seed |
      | 12    | 7    |

  Scenario: Generated histories hold every pair of faults
    Then 120 histories hold each of the 120 pairs of faults once

  Scenario: The same seed gives the same outcome
    When the trace "drain-mia-duong" is replayed
    And the trace "drain-mia-duong" is replayed again
    Then both outcomes are equal

  Scenario Outline: A fault put into a module is found
    When the trace "<trace>" is replayed while <fault>
    Then "<measure>" is reported as not kept

    Examples:
      | trace                    | fault                             | measure           |
      | zone-out-in-tres-lunas   | zone marks are ignored            | late_zone_packets |
      | table-edits-tres-lunas   | members are never queried         | broken_flows      |
      | drain-tres-lunas         | a drain is not announced          | late_drain_work   |
      | cold-start-tres-lunas    | cold agents admit every flow      | over_cold_curve   |
      | request-storm-mia-duong  | agents start every request        | over_cap          |
      | zone-out-in-out-platform-down-mia-duong | a replica accepts older versions  | version_reverted  |
      | server-death-mia-duong   | a stated outcome cannot be met    | opened_flows      |

  Scenario Outline: A malformed trace is refused
    When the trace text "<text>" is read
    Then the error says "<detail>"

    Examples:
      | text                                                            | detail             |
      | {"time": 1, "place": "trace"                                     | line 1             |
      | {"time": "x", "place": "trace", "event": "end"}                 | line 1             |
      | {"time": 1, "place": "trace", "event": "end"}                   | "expect"           |
      | {"time": 1, "place": "trace", "event": "expect", "measure": "a"} | "end"              |

  Scenario: A failed history is written as a trace that fails in the same way
    When a history with an outcome that cannot be met is written and read
    Then its replay has the same measures
