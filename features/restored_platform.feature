Feature: Nodes and operators after the platform was restored from an older copy

  The platform has lost its last writes and assigns their versions and cursors again. Guards
  against accepted changes that are not in force or revert, and against wrong reports of
  writes.

  Scenario: A table that is written after a restoration is in force
    # Guards against nodes that ignore a version because they hold a lost one.
    Given a balancer that holds table "feed" with the weights 1, 2 and 3 in turn
    When the platform returns from a copy with the weight 1
    And the table is written with the weight 4
    And the balancer lists the platform's objects
    Then the balancer holds the weight 4

  Scenario: A table written by a client that knows only the earlier epoch is in force
    # Guards against an accepted write that nodes ignore, as it records the epoch that the
    # platform had before it was restored.
    Given a balancer that holds table "feed" with the weights 1, 2 and 3 in turn
    When the platform returns from a copy with the weight 1
    And a client that has not read the restored platform writes the weight 4
    And the balancer lists the platform's objects
    Then the balancer holds the weight 4

  Scenario: An accepted table that the platform has lost stays in force
    Given a balancer that holds table "feed" with the weights 1, 2 and 3 in turn
    When the platform returns from a copy with the weight 1
    And the balancer lists the platform's objects
    Then the balancer holds the weight 3

  Scenario: A node misses no change of a restored platform
    # Guards against a watch that continues at a cursor which was assigned again.
    Given a platform with a connected node
    When table "a" is written and then table "b"
    And the platform has an outage in which table "c" replaces table "b"
    Then the node receives table "c"

  Scenario: A balancer that a restored platform lacks is announced again
    # Guards against nodes that start and find no balancer to contact.
    Given a platform with a connected node
    When the node has announced itself
    And the platform has an outage in which it loses the announcement
    Then the platform holds the announcement again

  Scenario: A lost request is not reported as refused after a restoration
    # Guards against a write that takes effect after its caller was told that it cannot.
    Given the platform with object "table/a" in version 1
    When a client's write of "table/a" is delayed, and the platform restored meanwhile
    Then the write is reported as unknown_outcome

  Scenario: A table whose version was assigned again is not taken for the exported one
    # Guards against an operator's change that another one overwrites without notice.
    Given a platform with the service "feed" of 3 backend servers in 2 zones
    And "ada" and "bo" have exported the table
    When 10 s pass at the platform
    And "ada" sets the weight of "s0" to 2 and applies
    And the platform returns from a copy that is 5 s old
    And "bo" sets the weight of "s1" to 3 and applies
    And "ada" sets the weight of "s0" to 5 and applies
    Then "bo" got accepted and "ada" got refused
    And the weights on the platform are 1, 3, 1

  Scenario: The changes of a restored platform are shown to operators
    Given a platform with the service "feed" of 3 backend servers in 2 zones
    And "ada" and "bo" have exported the table
    When 10 s pass at the platform
    And "ada" sets the weight of "s0" to 2 and applies
    And an operator watches the changes
    And the platform returns from a copy that is 5 s old
    And "bo" sets the weight of "s1" to 3 and applies
    Then the operator is shown the change by "bo"
