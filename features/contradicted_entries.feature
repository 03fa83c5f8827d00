Feature: Entries of agents that another writer replaces or removes

  Another writer may replace or remove the entry of an agent at any time. The agent writes
  it again within seconds, and balancers keep the member as long as its agent lives.

  Scenario Outline: An agent writes its entry again
    # Guards against resets of open flows after a planned restart of the balancers, because
    # no agent wrote its entry again and new balancers did not know the flow's owner.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    When another writer puts <content> in place of the late agent's entry <times> times
    Then the late agent's entry is back within 4.0 s, and the balancer has 2 members
    When the balancer is replaced 0.0 s later
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset
    And the late agent has counted contradictions and repeated writes

    Examples:
      | content        | times |
      | an odd object  | 1     |
      | a sound object | 1     |
      | nothing        | 1     |
      | an odd object  | 8     |
      | a sound object | 8     |
      | nothing        | 8     |

  Scenario Outline: An agent writes its entry again once the store responds
    # Guards against an entry that stays lost because the balancer's watch of the change
    # was lost: it is replaced 5.5 s after it was sent.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    When the store's responses are lost for 2.0 s
    And another writer puts <content> in place of the late agent's entry <times> times
    Then the late agent's entry is back within 7.0 s, and the balancer has 2 members
    When the balancer is replaced 0.0 s later
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset

    Examples:
      | content       | times |
      | an odd object | 1     |
      | nothing       | 3     |

  Scenario Outline: An agent that restarts writes its entry again
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    When another writer puts <content> in place of the late agent's entry 1 times
    And the late agent restarts
    Then the late agent's entry is back within 6.0 s, and the balancer has 2 members
    When the balancer is replaced 0.0 s later
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset

    Examples:
      | content        |
      | an odd object  |
      | a sound object |
      | nothing        |

  Scenario: A balancer that starts queries an agent whose entry cannot be read
    # Guards against resets of flows whose owner a new balancer does not know, because
    # its agent cannot write its entry again yet.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    When the store executes no write of the late agent
    And another writer puts an odd object in place of the late agent's entry 1 times
    And the balancer is replaced 0.0 s later
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset

  Scenario: An agent without a server withdraws
    # Guards against members that are kept although their servers have left.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    When the late server deregisters
    Then the balancer has 1 member within 3 s
    And the store lists 1 member within 3 s

  Scenario: A change that no balancer saw is found by the agent
    Given a store and a balancer
    And an agent with a server that joined early
    When the balancer announces no changes
    And another writer puts an odd object in place of the early agent's entry 1 times
    And the early agent checks its entry
    Then the early agent's entry is back within 2.0 s

  Scenario: A member whose entry is missing is kept while its agent is heard
    # Guards against balancers that forget the owners of open flows.
    Given a balancer with 3 members
    When the entry of member 1 is missing
    And all members report their loads for 10.0 s
    Then the balancer has members 0, 1 and 2
    And member 1 was told of the change at least 5 times, others never

  Scenario: A member whose entry is missing is dropped once its agent is silent
    Given a balancer with 3 members
    When the entry of member 1 is missing
    And all members but member 1 report their loads for 3.0 s
    Then the balancer has members 0 and 2

  Scenario: A member whose agent has withdrawn its entry is dropped
    Given a balancer with 3 members
    When the entry of member 1 is missing
    And member 1 says that it has withdrawn its entry
    Then the balancer has members 0 and 2

  Scenario: A member whose entry cannot be read gets lookups, but no new flows
    Given a balancer with 2 members
    When the entry of member 2 is found unreadable
    And all members report their loads for 1.0 s
    Then the balancer has members 0, 1 and 2
    And no new flow is placed on member 2

  Scenario: An entry that names another port waits until the member is silent
    Given a balancer with 2 members
    When all members report their loads for 1.0 s
    And the entry of member 1 names another port
    And all members report their loads for 3.0 s
    Then the balancer has members 0 and 1
    When all members but member 1 report their loads for 3.0 s
    Then the balancer has member 0, and member 1 at the other port

  Scenario: A changed zone does not take a member out of an evacuated zone
    # Guards against flows that are opened in an evacuated zone because of another
    # writer's entry.
    Given a balancer with 2 members
    When zone "zone-1" is evacuated
    And the entry of member 1 names the zone "zone-0"
    Then no new flow is placed on member 1
    When zone "zone-0" is evacuated
    And the entry of member 1 names the zone "zone-1"
    Then no new flow is placed on member 0

  Scenario: Two changed zones do not take a member out of an evacuated zone
    # Guards against flows that are opened in an evacuated zone because the entry named two
    # other zones one after the other, before its agent wrote it again.
    Given a balancer with 2 members
    When zone "zone-1" is evacuated
    And the entry of member 1 names the zone "zone-0"
    And the entry of member 1 names the zone "zone-2"
    Then no new flow is placed on member 1

  Scenario: A member is used again once its entry names its zone again
    # Guards against a member that stays out of use after the evacuation of a zone that
    # another writer's entry had named.
    Given a balancer with 2 members
    When the entry of member 1 names the zone "zone-0"
    And the entry of member 1 names the zone "zone-2"
    And the entry of member 1 names the zone "zone-1"
    And zone "zone-2" is evacuated
    Then new flows are placed on member 1

  Scenario: Many unreadable entries of unknown hosts select the neighbours once
    # Guards against a balancer that is busy for seconds, since it selected its neighbours
    # among all members for each of the entries.
    Given a balancer with 2 members
    When 500 unreadable entries of unknown hosts are found
    Then the balancer has 502 members and has selected its neighbours at most 2 times
    And each of the 500 hosts was sent a subscription and the change
    When all members but the unknown ones report their loads for 2.0 s
    Then the balancer has members 0 and 1

  Scenario: The zone of another VM at the address is taken over
    # Guards against a member that stays out of use for good because of the zone of the VM
    # that had its address before.
    Given a balancer with 2 members
    When the entry of member 1 names the zone "zone-2"
    And zone "zone-1" is evacuated
    Then no new flow is placed on member 1
    When all members report their loads for 11.0 s
    Then new flows are placed on member 1
