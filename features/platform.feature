Feature: Platform client

  Guards against a wrong result of a write after a lost response, versions that decrease,
  unbounded retries, and malformed responses that are accepted.

  Scenario Outline: Faults during a conditional write
    Given the platform with object "table/a" in version 1
    When a client writes "table/a" on version 1 with the faults "<faults>"
    Then the write is reported as <outcome>
    And the write took effect <times> times

    Examples:
      | faults                                      | outcome             | times |
      | none                                        | accepted            | 1     |
      | lost_response                               | accepted            | 1     |
      | lost_response,concurrent_write              | accepted            | 1     |
      | lost_response,lost_request,concurrent_write | accepted            | 1     |
      | malformed_response                          | accepted            | 1     |
      | lost_request                                | accepted            | 1     |
      | concurrent_write                            | refused as conflict | 0     |
      | lost_request,concurrent_write               | refused as conflict | 0     |
      | lost_request,lost_request,concurrent_write  | refused as conflict | 0     |

  Scenario: A write whose outcome cannot be determined is reported as unknown
    Given the platform with object "table/a" in version 1
    When another writer replaces "table/a" unconditionally after a lost request
    Then the write is reported as unknown_outcome

  Scenario: An outage ends with an unknown outcome after a bounded number of calls
    Given the platform with object "table/a" in version 1
    When the platform has an outage
    And a client writes "table/a" on version 1 with the faults "none"
    Then the write is reported as unknown_outcome
    And at most 24 calls were made
    And 50 further reads make at most 60 calls

  Scenario: A rate-limited call is retried after the time that the platform requests
    Given the platform with object "table/a" in version 1
    When the platform allows 1 call per second
    And a client reads "table/a" 3 times
    Then every read succeeds
    And each wait was at least 1 s

  Scenario: Generated faults and concurrent writers
    When 300 generated fault sequences are run
    Then each accepted write took effect once
    And no refused write took effect
    And every kind of outcome occurred

  Scenario: Versions never decrease, not even across a deletion
    Given the platform with object "table/a" in version 1
    When "table/a" is deleted and written again
    Then its version is 3
    And the watch from the start reports versions 1, 2, 3

  Scenario: A watch whose cursor is too old fails, so that the objects are listed again
    Given the platform that keeps 5 changes
    When 10 objects are written
    Then a watch from cursor 1 fails as cursor_expired

  Scenario: A leased object is deleted when its lease ends
    Given the platform with object "table/a" in version 1
    When "agent/s1" is written with a lease of 360 s and 361 s pass
    Then "agent/s1" is gone and the watch reports its tombstone in version 2

  Scenario: Malformed responses are reported as errors
    Given the platform with object "table/a" in version 1
    When generated responses replace the platform's
    Then each read returns an object or a malformed error

  Scenario: The stand-in over HTTP
    Given the stand-in on a loopback port
    When "/control" makes it lose one response
    And an object is written over HTTP
    Then the write is reported as accepted
    And a pending watch returns after a write and is counted as one call
    And "/control" refuses an unknown fault
