Feature: Platform client

  Guards against a write that is reported wrongly after a lost answer, versions that go
  back, retries without a bound, and rubbish that is taken for an answer.

  Scenario Outline: One fault of a conditional write
    Given the platform with object "table/a" in version 1
    When a client writes "table/a" on version 1 with the faults "<faults>"
    Then the write is reported as <outcome>
    And the write took effect <times> times

    Examples:
      | faults                              | outcome             | times |
      | none                                | accepted            | 1     |
      | lost_answer                         | accepted            | 1     |
      | lost_answer,rival                   | accepted            | 1     |
      | lost_answer,lost_call,rival         | accepted            | 1     |
      | rubbish                             | accepted            | 1     |
      | lost_call                           | accepted            | 1     |
      | rival                               | refused as conflict | 0     |
      | lost_call,rival                     | refused as conflict | 0     |
      | lost_call,lost_call,rival           | refused as conflict | 0     |

  Scenario: A write whose outcome cannot be known is not guessed
    Given the platform with object "table/a" in version 1
    When another replaces "table/a" without condition after a lost call
    Then the write is reported as unknown_outcome

  Scenario: An outage ends with an unknown outcome after a bounded number of calls
    Given the platform with object "table/a" in version 1
    When the platform has an outage
    And a client writes "table/a" on version 1 with the faults "none"
    Then the write is reported as unknown_outcome
    And at most 24 calls were made
    And 50 further reads make at most 60 calls

  Scenario: A rate limit is a refusal, and its time to retry is kept
    Given the platform with object "table/a" in version 1
    When the platform allows 1 call per second
    And a client reads "table/a" 3 times
    Then every read succeeds
    And each wait was at least 1 s

  Scenario: Generated faults and racing writers
    When 300 generated histories of faults are run
    Then each accepted write took effect once
    And no refused write took effect
    And every kind of outcome occurred

  Scenario: Versions never go back, not even over a deletion
    Given the platform with object "table/a" in version 1
    When "table/a" is deleted and written again
    Then its version is 3
    And the watch from the start reports versions 1, 2, 3

  Scenario: A watch whose cursor is too old is told to list again
    Given the platform that keeps 5 changes
    When 10 objects are written
    Then a watch from cursor 1 fails as cursor_expired

  Scenario: A leased object is deleted when its lease ends
    Given the platform with object "table/a" in version 1
    When "agent/s1" is written with a lease of 360 s and 361 s pass
    Then "agent/s1" is gone and the watch reports its tombstone in version 2

  Scenario: Answers that are not what was asked for are errors
    Given the platform with object "table/a" in version 1
    When generated answers replace the platform's
    Then each read is an object or a malformed error

  Scenario: The stand-in over HTTP
    Given the stand-in on a loopback port
    When "/control" makes it lose one answer
    And an object is written over HTTP
    Then the write is reported as accepted
    And a watch that waits is woken by a write and counted as one call
    And "/control" refuses an unknown fault
