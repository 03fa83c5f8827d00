Feature: Operator's client

  Guards against accepted changes that are silently lost when several operators write at
  the same time, and against results that are reported wrongly.

  Background:
    Given a platform with the service "feed" of 3 backend servers in 2 zones

  Scenario: The second of two writes is refused and names the first writer and the changed rows
    Given "ada" and "bo" have exported the table
    When "ada" sets the weight of "s0" to 2 and applies
    And "bo" sets the weight of "s1" to 3 and applies
    Then "ada" got accepted and "bo" got refused
    And the refusal names "ada" and the row "s0"
    And the weights on the platform are 2, 1, 1

  Scenario: Changes of different rows are merged
    Given "ada" and "bo" have exported the table
    When "ada" sets the weight of "s0" to 2 and applies
    And "bo" sets the weight of "s1" to 3 and applies with merge
    Then "ada" got accepted and "bo" got accepted
    And the weights on the platform are 2, 3, 1

  Scenario: Changes of the same row conflict
    Given "ada" and "bo" have exported the table
    When "ada" sets the weight of "s0" to 2 and applies
    And "bo" sets the weight of "s0" to 3 and applies with merge
    Then "ada" got accepted and "bo" got refused
    And the conflict on row "s0" names "ada"
    And the weights on the platform are 2, 1, 1

  Scenario: A repeated apply writes nothing and pushes the object again
    Given "ada" and "bo" have exported the table
    When "ada" sets the weight of "s0" to 2 and applies
    And "ada" applies again
    Then "ada" got unchanged in version 2
    And version 2 was pushed to the balancers 2 times

  Scenario: A write whose response is lost is recognised, and the object is pushed
    Given "ada" and "bo" have exported the table
    When the platform's next response is lost
    And "ada" sets the weight of "s0" to 2 and applies
    Then "ada" got accepted in version 2
    And version 2 was pushed to the balancers 1 times

  Scenario: An outage during the write is reported as unknown, and a repeated apply succeeds
    Given "ada" and "bo" have exported the table
    When the platform fails after the next 2 reads
    And "ada" sets the weight of "s0" to 2 and applies
    Then "ada" got unknown and exit code 3
    When the platform is available again
    And "ada" applies again
    Then "ada" got accepted in version 2

  Scenario: An outage before the write gives exit code 4
    Given "ada" and "bo" have exported the table
    When the platform fails now
    And "ada" sets the weight of "s0" to 2 and applies
    Then "ada" got exit code 4

  Scenario: Concurrent marks of one zone
    When "ada" marks "z0" out while "bo" marks it out and in
    Then one mark was refused and names the other writer
    And every accepted mark has its own version

  Scenario: Writes of a table and of a mark do not conflict
    Given "ada" and "bo" have exported the table
    When "ada" sets the weight of "s0" to 2 and applies
    And "bo" marks "z0" out
    Then "ada" got accepted and "bo" got accepted

  Scenario: An unknown zone or an invalid table is refused before any write
    When "bo" marks "z9" out
    Then "bo" got refused and nothing was written
    When "bo" sets the weight of "s0" to -1 by edit
    Then "bo" got refused and nothing was written

  Scenario: Generated concurrent edits
    When 150 generated histories of 3 editors with lost responses are run
    Then every accepted change is on the platform unless a later one replaced it

  Scenario: Status shows nodes that are behind, are unreachable or send malformed responses
    When the status is read while "n1" is behind, "n2" does not respond and "n3" sends a malformed response
    Then the status names "n1" as behind with its version
    And the status has 2 nodes without status and exit code 4

  Scenario: Watching continues after an expired cursor without repetitions
    When 9 changes are watched with a log of 3 changes
    Then the last version of each object was reported once

  Scenario Outline: Exit codes of command lines
    When "bramleystair <line>" is run
    Then its exit code is <code> and its JSON says so

    Examples:
      | line                                             | code |
      | zone list --format json                          | 0    |
      | zone out z0 --format json                        | 0    |
      | zone out z9 --format json                        | 1    |
      | table export feed --output {dir}/t --format json | 0    |
      | table export other --format json                 | 1    |
      | table diff {dir}/none --format json              | 2    |
      | table edit feed --set s0:weight=5 --format json  | 0    |
      | status --format json                             | 4    |
      | config check {dir}/none --format json            | 1    |

  Scenario: An unknown option is a usage error
    When "bramleystair zone out z0 --fast" is run
    Then its exit code is 2
