Feature: Replication of versions, membership and leases

  Guards against versions that revert or never arrive, failed backend servers that
  keep receiving work, and live ones that are reported down.

  Scenario: A table is replicated to all nodes
    Given 6 balancers and 7 agents in 3 availability zones with seed 1
    When the platform accepts a table
    And 5 s pass
    Then every node holds the newest accepted versions
    And exactly the stopped agents are reported down

  Scenario: A failed backend server is reported, and refutes the report when it resumes
    Given 6 balancers and 7 agents in 3 availability zones with seed 2
    When "s3" stops
    And 5 s pass
    Then exactly the stopped agents are reported down
    When "s3" resumes
    And 5 s pass
    Then exactly the stopped agents are reported down

  Scenario: An agent that fails together with its balancers is reported
    Given 3 balancers and 3 agents in 3 availability zones with seed 3
    When "s1" stops
    And "b1" stops
    And "b2" stops
    And 15 s pass
    Then exactly the stopped agents are reported down

  Scenario: A disconnected balancer reports no member down
    Given 6 balancers and 7 agents in 3 availability zones with seed 4
    When the nodes "b2" are disconnected
    And 60 s pass
    And the connection is restored
    And 5 s pass
    Then no agent was ever reported down at "b0,b1,b3,b4,b5"
    And exactly the stopped agents are reported down

  Scenario: A paused balancer reports no member down
    Given 6 balancers and 7 agents in 3 availability zones with seed 4
    When "b2" stops
    And 60 s pass
    And "b2" resumes
    And 10 s pass
    Then no agent was ever reported down at "b0,b1,b2,b3,b4,b5"

  Scenario: An expired lease removes a stopped agent but no live one
    Given 6 balancers and 7 agents in 3 availability zones with seed 11
    When "s3" stops
    And the leases of "s1,s3" expire
    And 5 s pass
    And the announcements are listed
    And 5 s pass
    Then all agents but "s3" are announced at every balancer

  Scenario: An agent restarted with an earlier incarnation takes a later one
    Given 6 balancers and 7 agents in 3 availability zones with seed 12
    When "s3" restarts with incarnation 0
    And 5 s pass
    Then "s3" raised its incarnation 1 times

  Scenario: A process that was replaced does not compete with its replacement
    Given an agent with incarnation 1 that has run for 60 s
    When it learns that incarnation 5 of its name was announced
    Then it reports its replacement and raises no incarnation

  Scenario: A zone that was disconnected for minutes receives what it missed
    Given 6 balancers and 7 agents in 3 availability zones with seed 5
    When the nodes "b0,b3,s0,s3,s6" are disconnected
    And 300 s pass
    And the platform accepts a table
    And the connection is restored
    And 5 s pass
    Then every node holds the newest accepted versions
    And exactly the stopped agents are reported down

  Scenario: A new balancer and a new agent start from their peers during a platform outage
    Given 6 balancers and 7 agents in 3 availability zones with seed 6
    When the platform is down
    And a new balancer "b12" starts
    And a new agent "s12" starts
    And 5 s pass
    Then "b12" holds 8 agents and the table
    And "b5" holds 8 agents and the table

  Scenario: A new balancer catches up with thousands of objects while messages are lost
    Given 4 balancers that hold 3000 zone marks, with seed 13
    When a fifth balancer starts and 5 % of messages are lost
    Then it holds the 3000 zone marks within 5 s and never has more than 256 KB in flight

  Scenario: The last of several zone marks takes effect on all nodes
    Given 6 balancers and 7 agents in 3 availability zones with seed 7
    When availability zone "z1" goes out of service, returns and goes out again
    And 3 s pass
    Then every node holds the newest accepted versions

  Scenario: A deleted zone mark returns the zone to service on all nodes
    Given 6 balancers and 7 agents in 3 availability zones with seed 14
    When availability zone "z1" goes out of service, returns and goes out again
    And 3 s pass
    And the zone mark of "z1" is deleted
    And 5 s pass
    Then every node holds the newest accepted versions
    And zone "z1" is in service at every node

  Scenario: A drained agent is draining at all nodes within 3 s
    Given 6 balancers and 7 agents in 3 availability zones with seed 8
    When "s1" is drained
    And 3 s pass
    Then "s1" is draining at every node

  Scenario: A pause longer than the lease ends the incarnation, a shorter one does not
    Given 6 balancers and 7 agents in 3 availability zones with seed 9
    When "s3" stops
    And 350 s pass
    And "s3" resumes
    And 5 s pass
    Then "s3" raised its incarnation 0 times
    When "s3" stops
    And 370 s pass
    And "s3" resumes
    And 5 s pass
    Then "s3" raised its incarnation 1 times

  Scenario: Members of a service report their loads to each other
    Given 6 balancers and 4 agents in 3 availability zones with seed 10
    When "s1" has loads and 12 ticks pass
    Then "s1" reported its loads to each co-member 3 times

  Scenario: A table is replicated to the planned number of balancers
    Given 1200 balancers in 15 availability zones that know each other, with seed 1
    When one balancer receives a table and 5 % of messages are lost
    Then every balancer holds the table within 15 s

  Scenario: An agent that stops while a balancer is cut off is reported down
    # Guards against an agent whose end no balancer ever reports. Found by the generated
    # fault sequences.
    When this fault sequence runs with seed 6080
      """
      [[["table", null], 0], [["table", null], 0], [["table", null], 5],
       [["stop", "s2"], 3], [["disconnect_node", 0], 6], [["disconnect_node", 0], 1],
       [["zone", [0, false]], 2], [["table", null], 7], [["table", null], 7],
       [["delay", 0.5], 6], [["stop", "s3"], 4]]
      """
    Then each ended with the newest versions within 5 s and no false down report within 10 s

  Scenario: An agent that stops after a false down report is reported down
    # Guards against an agent whose silence nobody measures, as the balancer that refuted a
    # false report is none of those that the agent sends heartbeats to. Found by the
    # generated fault sequences.
    When this fault sequence runs with seed 59742
      """
      [[["disconnect_node", 1], 8], [["platform", false], 3], [["duplicate", 0.0], 0],
       [["delay", 0.5], 4], [["duplicate", 0.5], 3], [["loss", 0.5], 7],
       [["duplicate", 0.5], 2], [["stop", "s3"], 6], [["delay", 2.0], 1],
       [["table", null], 1], [["delay", 2.0], 6], [["table", null], 7]]
      """
    Then each ended with the newest versions within 5 s and no false down report within 10 s

  Scenario: Generated fault sequences
    When 40 generated fault sequences run
    Then each ended with the newest versions within 5 s and no false down report within 10 s

  Scenario: A store keeps the newest version regardless of the order of arrival
    When generated versions arrive at two stores in different orders
    Then both stores hold the newest of each with equal digests
