Feature: Memory and time that objects of other writers may cost a process

  Other writers may leave any number of objects of any size and kind in the store. Each
  process stays within the memory that the platform permits, answers readiness checks, and
  uses the objects that it needs.

  Scenario Outline: A balancer stays within its memory, and follows the store
    # Guards against balancers that are killed again and again because of the objects that
    # they keep, parse or receive, and against changes that are missed meanwhile.
    Given a balancer process with 3 members and 300 MB of memory
    When another writer leaves <objects> <reach>
    Then each process answers readiness checks and stays within its memory for 1 s
    And a new configuration is in force within 3 s
    And a new member is asked for its load within 15 s
    And an evacuated zone is in force within 5 s

    Examples:
      | objects                                           | reach              |
      | 14 objects of 1 MB with empty objects in members  | one by one         |
      | 14 entries of 1 MB with empty objects in members  | one by one         |
      | 14 entries of 1 MB with empty objects in members  | before a restart   |
      | 14 entries of 1 MB with empty objects in members  | before a restoration |
      | 60 objects of 1 MB with empty objects in members  | all at once        |
      | 60 entries of 1 MB with one long text in members  | all at once        |
      | 40 entries of 1 MB with deep arrays in members    | all at once        |
      | 1 entries of 1 MB with empty objects in members   | 60 times           |
      | 2000 entries of 30 KB with empty objects in members | all at once      |
      | 40000 entries of 0 KB with empty objects in members | all at once      |
      | 40000 entries of 0 KB with empty objects in members | before a restart |
      | 60 objects of 1 MB with empty objects in config   | before a restart   |
      | 20 zones of 1 MB with empty objects in evacuations | before a restart  |
      | 40000 zones of 0 KB with empty objects in evacuations | before a restart |
      | 500 rosters of 60 KB with hosts in members        | all at once        |
      | 3000 rosters of 10 KB with hosts in members       | before a restart   |

  Scenario Outline: A balancer stays within its memory with entries that look sound
    Given a balancer process with 3 members and 300 MB of memory
    When another writer leaves <objects> <reach>
    Then each process answers readiness checks and stays within its memory for 1 s
    And a new configuration is in force within 3 s
    And an evacuated zone is in force within 5 s

    Examples:
      | objects | reach |
      | 12000 entries of 0 KB like an agent's in members  | all at once        |
      | 1000 entries of 20 KB like an agent's in members  | before a restart   |

  Scenario Outline: An agent stays within its memory, and keeps its entry
    # Guards against agents that are killed because of an object under their own name, or
    # of a kind that they watch only for its changes.
    Given an agent process with 168 MB of memory
    When another writer leaves <objects> <reach>
    Then each process answers readiness checks and stays within its memory for 1 s
    And the agent's entry can be read within 20 s

    Examples:
      | objects                                         | reach            |
      | 1 own entries of 1 MB with empty objects in members | 20 times     |
      | 1 own entries of 1 MB with one long text in members | before a restart |
      | 60 objects of 1 MB with empty objects in epochs | all at once      |
      | 60 objects of 1 MB with empty objects in epochs | before a restart |

  Scenario Outline: A balancer that starts from a peer's copy stays within its memory
    # Guards against a balancer that takes over from a peer what the peer has read.
    Given a peer that passes on <objects>
    And a balancer process with 300 MB of memory whose store does not answer
    Then each process answers readiness checks and stays within its memory for 3 s

    Examples:
      | objects                                           |
      | 14 entries of 1 MB with empty objects in members  |
      | 14 objects of 1 MB with empty objects in rules    |
      | 40000 entries of 0 KB with empty objects in members |
