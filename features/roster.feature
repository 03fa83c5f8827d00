Feature: Lists of all members in the store

  The entry of an agent may be removed by another writer at any time. Balancers keep the
  addresses of all members in three further copies, the roster, so that a balancer that
  starts finds an agent that has no entry, and knows whether its list of members is
  complete.

  Scenario Outline: A balancer that starts finds an agent without an entry
    # Guards against flows that expire after a loss of power, although their server lives,
    # because nobody tells a balancer that starts of an agent whose entry is gone.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    And the copies of the roster name the agents early and late within 6.0 s
    When the store executes no write of the late agent
    And another writer puts <content> in place of the late agent's entry 1 times
    And the balancer is replaced 0.0 s later
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset

    Examples:
      | content        |
      | nothing        |
      | an odd object  |
      | a sound object |

  Scenario: An agent whose entry is removed before each start of a balancer is found
    # Guards against a fix that holds once: the entry is written again each time, and
    # removed again before the next balancer starts.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    And the copies of the roster name the agents early and late within 6.0 s
    When 3 times another writer removes the late agent's entry and the balancer is replaced
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset

  Scenario Outline: An agent without an entry is found by one copy of the roster
    # Guards against an agent that is lost as soon as another writer changes more than its
    # entry.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And a caller with an open flow at the late server
    And the copies of the roster name the agents early and late within 6.0 s
    When the store executes no write of the late agent
    And another writer puts nothing in place of the late agent's entry 1 times
    And another writer puts <content> in place of 2 copies of the roster
    And the balancer is replaced 0.0 s later
    And the caller sends requests on its flow for 2 s
    Then its requests are answered and its flow is not reset
    And the copies of the roster name the agents early and late within 6.0 s

    Examples:
      | content                         |
      | an odd object                   |
      | a roster without the late agent |
      | nothing                         |

  Scenario Outline: Copies that another writer changes are written again
    # Guards against copies that are lost one after the other.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And the copies of the roster name the agents early and late within 6.0 s
    When another writer puts <content> in place of 3 copies of the roster
    Then the copies of the roster name the agents early and late within 5.0 s
    And the balancer knows all members on the word of the roster within 1.5 s

    Examples:
      | content                         |
      | an odd object                   |
      | a roster without the late agent |
      | nothing                         |

  Scenario: An agent that leaves is dropped from the roster
    # Guards against balancers that look for agents that have left.
    Given a store and a balancer
    And an agent with a server that joined early
    And an agent with a server that joined late
    And the copies of the roster name the agents early and late within 6.0 s
    When the late server deregisters
    Then the balancer has 1 member within 3 s
    And the copies of the roster name the agents early within 6.0 s

  Scenario: Writes stop once all copies agree
    # Guards against calls to the store on a quiet day.
    Given 20 balancers and 60 agents
    When 8.0 s pass
    Then all copies name the 60 agents
    And each balancer knows all members on the word of the roster
    And at most 15 writes of rosters were called, of which 12 failed
    When the calls to the store are counted from now on
    And 30.0 s pass
    Then at most 0 writes of rosters were called

  Scenario: Agents that join cause a bounded number of writes
    # Guards against a write of each balancer for each agent that joins.
    Given 20 balancers and 60 agents
    When 8.0 s pass
    And 200 agents join within 10 s
    And 6.0 s pass
    Then all copies name the 260 agents
    And each balancer knows all members on the word of the roster
    And at most 90 writes of rosters were called

  Scenario: Two balancers that write at the same time
    # Guards against balancers that overwrite each other in turn.
    Given 2 balancers and 5 agents
    And two balancers write at the same time
    When 8.0 s pass
    Then all copies name the 5 agents
    And at most 6 writes of rosters were called, of which 3 failed
    And each balancer knows all members on the word of the roster

  Scenario: A write whose response is lost
    # Guards against a write that is repeated for ever, since its condition has become
    # wrong by its first execution.
    Given 1 balancers and 5 agents
    When the responses to the next 2 writes are lost
    And 16.0 s pass
    Then all copies name the 5 agents
    And at most 5 writes of rosters were called, of which 2 failed
    And each balancer knows all members on the word of the roster

  Scenario: The store returns from an older copy
    # Guards against a roster that is believed complete although it lacks agents that
    # joined since the copy was made.
    Given 5 balancers and 20 agents
    When 8.0 s pass
    And the store is copied
    And 10 agents join within 2 s
    And 6.0 s pass
    Then all copies name the 30 agents
    When the store returns from the copy of before
    Then no balancer knows all members on the word of the roster
    When the agents write their entries again
    And 10.0 s pass
    Then all copies name the 30 agents
    And each balancer knows all members on the word of the roster

  Scenario Outline: One changed copy leaves it open whether a member is unknown
    # Guards against resets on the word of a list that another writer has changed.
    Given 3 balancers and 10 agents
    When 8.0 s pass
    And another writer changes one copy: <change>
    Then no balancer knows all members on the word of the roster
    When 4.5 s pass
    Then each balancer knows all members on the word of the roster
    And all copies name the 10 agents

    Examples:
      | change        |
      | missing       |
      | unreadable    |
      | one host less |
      | two parts     |

  Scenario: An address that another writer adds to one copy
    # Guards against a name that is dropped although it may be that of a living agent.
    Given 3 balancers and 10 agents
    When 8.0 s pass
    And another writer changes one copy: one host more
    And 4.5 s pass
    Then each balancer has 11 members
    And each balancer knows all members on the word of the roster
    When 70.0 s pass
    Then each balancer has 10 members
    And all copies name the 10 agents

  Scenario: A balancer that starts tells an agent that its entry is missing
    # Guards against agents that do not write again because nobody knows them.
    Given 2 balancers and 10 agents
    When 8.0 s pass
    And all balancers lose power
    And another writer removes the entry of agent 3
    And a balancer starts
    And 1.0 s pass
    Then the last balancer has 10 members, one of which is agent 3
    And it has subscribed to agent 3 and told it that its entry is missing
    And each balancer knows all members on the word of the roster

  Scenario: An agent that is merely silent stays named for the lifetime of a flow
    # Guards against flows of an agent that restarts while its entry is gone.
    Given 2 balancers and 10 agents
    When 8.0 s pass
    And agent 3 falls silent
    And another writer removes the entry of agent 3
    And a balancer starts
    And 30.0 s pass
    Then the last balancer has 10 members, one of which is agent 3
    When 40.0 s pass
    Then each balancer has 9 members
    And all copies name all agents but agent 3

  Scenario: An agent whose entry is removed while it runs stays named
    # Guards against an agent that is removed from the roster because its entry is gone.
    Given 2 balancers and 10 agents
    When 8.0 s pass
    And another writer removes the entry of agent 3
    And 90.0 s pass
    Then all copies name the 10 agents
    And each balancer has 10 members

  Scenario: An agent withdraws its entry before its balancers see it removed
    # Guards against members that are kept for a minute since the withdrawal came before
    # the change of the entry.
    Given 2 balancers and 10 agents
    When 8.0 s pass
    And agent 3 says to 2 balancers that it has withdrawn its entry
    And its entry is removed and agent 3 stops
    And 5.0 s pass
    Then all copies name all agents but agent 3
    And each balancer has 9 members
    And each balancer knows all members on the word of the roster

  Scenario: A balancer that missed a withdrawal accepts what the others have written
    # Guards against balancers that name and remove an agent in turn.
    Given 6 balancers and 10 agents
    When 8.0 s pass
    And agent 3 says to 3 balancers that it has withdrawn its entry
    And its entry is removed and agent 3 stops
    And 10.0 s pass
    Then all copies name all agents but agent 3
    And each balancer has 9 members
    When the calls to the store are counted from now on
    And 70.0 s pass
    Then at most 0 writes of rosters were called

  Scenario: Odd copies add a limited number of members
    # Guards against balancers that query any number of hosts that another writer names.
    Given 1 balancers and 10 agents
    When 1.0 s pass
    And another writer adds copies that name 10000 hosts of no agent
    Then it has added at most 256 members, among them the one of two copies
    When 5.0 s pass
    Then it has heard each of the 10 agents in the last 0.8 s

  Scenario: Rosters of any size are read as they were written
    Then rosters of 1, 64, 65, 300, 2000 members are read as they were written
    And no node takes a roster for the entry of a member

  Scenario: An agent announces that it has withdrawn its entry
    # Guards against balancers that query an agent without a server for a minute.
    Given an agent with a server and a subscribed balancer
    When its entry is withdrawn
    Then the balancer was told of the withdrawal 1 to 1 times
    When the agent runs for 1.0 s
    Then the balancer was told of the withdrawal 3 to 5 times
    When the agent runs for 10.0 s
    Then the balancer was told of the withdrawal 10 to 30 times
    When the agent runs for 1.0 s
    Then the balancer got load reports only

  Scenario: The announcement ends with the next server
    Given an agent with a server and a subscribed balancer
    When its entry is withdrawn
    And its server reports again and has an entry
    And the agent runs for 1.0 s
    Then the balancer got load reports only
