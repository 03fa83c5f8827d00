Feature: Spread of versions, membership and leases

  Guards against versions that revert or never arrive, failed backend servers that
  keep receiving work, and live ones that are taken for failed.

  Scenario: A table and the agents become known everywhere
    Given 6 balancers and 7 agents in 3 availability zones with seed 1
    When 5 s pass
    And the platform reports a table of all agents with version 5 to one balancer
    And 5 s pass
    Then every node holds version 5 of the table
    And every node has all agents as candidates

  Scenario: A failed backend server is reported and the others are not
    Given 6 balancers and 7 agents in 3 availability zones with seed 2
    When 5 s pass
    And the platform reports a table of all agents with version 5 to one balancer
    And 5 s pass
    And agent "s3" stops
    And 5 s pass
    Then exactly "s3" is reported down at every node
