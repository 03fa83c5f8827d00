Feature: Evidence that a flow has no owner

  A caller is reset if every possible owner has itself denied the flow on evidence, in one
  lookup, and the list of possible owners is complete. Members answer lookups after 0.1 s
  here, and the store confirms the list 0.02 s after each request.

  Scenario Outline: A flow that all members deny on evidence is reset at once
    # Guards against callers that wait for their deadlines after a loss of power of all VMs.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: <evidence>
    When the caller of a dead flow sends a packet, and 2 s pass
    Then its caller is reset within 0.3 s, as never_held, by 3 of 3 members: <evidence>

    Examples:
      | evidence        |
      | returned        |
      | server_absent   |
      | seen_start      |
      | first_report    |
      | lifetime_passed |
      | other_server    |

  Scenario: Many dead flows are told with few calls to the store
    # Guards against a call to the store for each caller after a loss of power.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    When the callers of 40 dead flows send packets within 0.8 s, and 2 s pass
    Then all 40 callers are reset within 0.5 s
    And the store was asked at most once in 0.2 s

  Scenario: A flow is not reset while the roster is incomplete
    # Guards against a reset of a flow whose agent is known neither by its entry nor by name.
    Given a balancer with 3 members
    And all members deny flows on evidence: first_report
    When the caller of a dead flow sends a packet, and 2 s pass
    Then no reset follows, as roster_incomplete
    When the roster is completed
    And the caller of a dead flow sends a packet, and 2 s pass
    Then its caller is reset within 0.3 s

  Scenario: A flow is looked up again soon once its evidence was complete but for the roster
    # Guards against callers that wait for 0.8 s although all members have denied the flow.
    Given a balancer with 3 members
    And all members deny flows on evidence: first_report
    When the caller of a dead flow sends a packet, and 0.4 s pass
    And the roster is completed
    And the caller of a dead flow sends a packet, and 1 s pass
    Then its caller is reset within 0.3 s

  Scenario Outline: A flow is not reset while a member is silent
    # Guards against silence that counts as evidence: the agent of a server that lives may
    # be restarting, cut off or paused for longer than any limit.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: lifetime_passed
    And member 2 does not answer lookups
    When the members but member 2 report their loads for <seconds> s
    And the caller of a dead flow sends a packet, and 3 s pass
    Then no reset follows, as member_silent

    Examples:
      | seconds |
      | 0       |
      | 3       |
      | 20      |

  Scenario Outline: A member that denies a flow by an estimate is sent the packet
    # Guards against a reset that rests on an estimate, and against one that fails to come
    # although the server has returned the packet.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    And member 1 answers lookups as <answer>, and a probe as <returned>
    When the caller of a dead flow sends a packet, and 1 s pass
    Then only member 1 was sent a probe
    And <outcome>

    Examples:
      | answer | returned | outcome                            |
      | none   | returned | its caller is reset within 0.4 s   |
      | unsure | returned | its caller is reset within 0.4 s   |
      | none   | none     | no reset follows, as estimate_only |
      | none   | certain  | the packet is owned by member 1    |
      | unsure | likely   | the packet is owned by member 1    |

  Scenario: Servers are not sent a flow's packets because many members estimate
    # Guards against packets of a flow that go to several other servers and not to its own.
    Given a balancer with 8 members
    And a complete roster
    And all members answer lookups as none
    When the caller of a dead flow sends a packet, and 1 s pass
    Then no member was sent a probe
    And no reset follows, as estimate_only

  Scenario: No estimate is probed while a member is silent
    # Guards against packets of an open flow that go to other servers while its own agent
    # restarts.
    Given a balancer with 3 members
    And a complete roster
    And all members answer lookups as none
    And member 2 does not answer lookups
    When the caller of a dead flow sends a packet, and 1 s pass
    Then no member was sent a probe

  Scenario: A member that has returned the packet itself has to answer as well
    # Guards against a member that is left out: its agent has denied the packet, which is
    # no evidence of its server.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: lifetime_passed
    And member 1 answers lookups as certain, and a probe as certain
    When the agent of member 1 returns a packet that its server did not get, and 1 s pass
    Then no reset follows
    And the packet is owned by member 1

  Scenario: The agent of a deleted entry is known by the roster
    # Guards against resets of the flows of an agent whose entry another writer deletes again
    # and again while all balancers and all other agents lose power.
    Given a balancer with 2 members
    And all members deny flows on evidence: first_report
    And a roster of the members 0, 1 and 2
    When the caller of a dead flow sends a packet, and 1 s pass
    Then no reset follows, as roster_incomplete
    When member 2 is added, as the roster names it
    And member 2 answers lookups as certain, and a probe as certain
    And the caller of a dead flow sends a packet, and 1 s pass
    Then no reset follows
    And the packet is owned by member 2

  Scenario: A flow is not reset without a confirmation
    # Guards against a reset by a balancer whose list is old, as the store does not answer.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    And the store's confirmations are lost
    When the caller of a dead flow sends a packet, and 4 s pass
    Then no reset follows, as unconfirmed

  Scenario: A confirmation that was requested before the lookup does not count
    # Guards against a reset of a flow whose member joined between that call and the lookup.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    And the store confirms the list 0.3 s after each request
    When the caller of a dead flow sends a packet, and 0.15 s pass
    And the callers of 1 dead flows send packets within 0.05 s, and 0.3 s pass
    Then 1 caller is reset
    When 0.4 s pass in the deployment
    Then 2 callers are reset

  Scenario: A member that joins during the confirmation is queried
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    And the store confirms the list 0.3 s after each request
    When the caller of a dead flow sends a packet, and 0.2 s pass
    And member 3 joins
    And member 3 answers lookups as certain, and a probe as certain
    And 1 s pass in the deployment
    Then no reset follows
    And the packet is owned by member 3

  Scenario: A flow is not reset while a restored store may lack its agent
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    When members may be missing for 3 s
    And the caller of a dead flow sends a packet, and 2 s pass
    Then no reset follows, as store_restored

  Scenario: A later answer takes an earlier one back
    # Guards against a reset after an agent has seen a sign against its own evidence.
    Given a balancer with 3 members
    And a complete roster
    And all members deny flows on evidence: first_report
    And member 1 answers lookups as first_report, and a probe as certain
    And the store confirms the list 0.3 s after each request
    When the caller of a dead flow sends a packet, and 0.2 s pass
    And member 1 answers its lookup once more, as unsure
    And 0.5 s pass in the deployment
    Then no reset follows
    And the packet is owned by member 1

  Scenario: A node of an earlier version drops the answers of later ones
    # Guards against a value that is read as another one, and so resets callers.
    Then an answer with an unknown value is refused as malformed

  Scenario: The first report of a server is evidence
    Given an agent that has just started
    When 0.3 s later a cold server sends its report 1
    And a balancer looks up the owner of a flow
    Then the agent answers that it denies the flow on evidence: first_report
    When 2 s later the server sends its report 3
    And a balancer looks up the owner of a flow
    Then the agent answers that it denies the flow on evidence: first_report

  Scenario Outline: An agent that is restarted beside a cold server has no evidence
    # Guards against resets of all flows of a server whose agent was restarted.
    Given an agent that has just started
    When <seconds> s later a cold server sends its report 2
    And a balancer looks up the owner of a flow
    Then the agent answers that it <answer>

    Examples:
      | seconds | answer                 |
      | 0.3     | does not hold the flow |
      | 0.8     | is unsure              |

  Scenario Outline: A forged first report is evidence until the next report of the server
    # Guards against an agent that goes on believing another writer, who was heard first.
    Given an agent that has just started
    When 0.1 s later a cold server sends its report 1
    And <event>
    And a balancer looks up the owner of a flow
    Then the agent answers that it is unsure

    Examples:
      | event                                               |
      | 0.8 s later another server reports for the first time |
      | 0.8 s later the server sends its report 9           |
      | 0.8 s later the server sends its report 400         |

  Scenario Outline: Steps of the clock change no evidence
    # Guards against times of day that are compared.
    Given an agent that has just started
    When a cold server that started at <ms> ms sends its report <sequence>
    And a balancer looks up the owner of a flow
    Then the agent answers that it <answer>

    Examples:
      | ms            | sequence | answer                                          |
      | 0             | 1        | denies the flow on evidence: first_report       |
      | 4102444800000 | 1        | denies the flow on evidence: first_report       |
      | 0             | 2        | does not hold the flow                          |
      | 4102444800000 | 2        | does not hold the flow                          |

  Scenario Outline: A packet of the server on an earlier flow takes evidence back
    # Guards against resets of the flows of a server that an earlier process knew.
    Given an agent that has just started and finds no server at its server's address
    When 0.1 s later a cold server sends its report 1
    And <event>
    And a balancer looks up the owner of a flow
    Then the agent answers that it is unsure

    Examples:
      | event                                              |
      | the server sends a packet on another flow          |
      | the server sends a first reply on another flow     |
      | the server resets a packet of a probe on another flow |

  Scenario: Packets of a flow that was opened here leave the evidence
    Given an agent that has just started
    When 0.1 s later a cold server sends its report 1
    And a flow is opened at the agent, and the server answers on it
    And a balancer looks up the owner of a flow
    Then the agent answers that it denies the flow on evidence: first_report

  Scenario: An agent does not deny a flow that it has given up
    # Guards against a reset of an open flow whose first packet the server returned after it
    # had accepted a copy.
    Given an agent that has just started
    When 0.1 s later a cold server sends its report 1
    And a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And the server returns its first packet
    And a balancer looks up the owner of a flow whose caller acknowledges 1001
    Then the agent answers that it is unsure

  Scenario: An agent denies a half-open flow whose caller acknowledged another server
    Given an agent whose server is ready
    When a new flow for web arrives
    And the server answers the first packet with the sequence number 1000
    And a balancer looks up the owner of a flow whose caller acknowledges 900000
    Then the agent answers that it denies the flow on evidence: other_server

  Scenario: An agent that has run for the lifetime of a flow denies others
    Given an agent whose server is ready and that started 100 s ago
    When a balancer looks up the owner of a flow
    Then the agent answers that it denies the flow on evidence: lifetime_passed

  Scenario: What was found at another address is no evidence
    # Guards against resets after an agent has started with an outdated settings file.
    Given an agent that has just started and finds no server at its server's address
    When the settings name another address of the server
    And a balancer looks up the owner of a flow
    Then the agent answers that it is unsure
