Feature: Odd objects of other writers in the store

  Other writers may leave objects whose content no node of this project would write. Such an
  object names no server; the real nodes go on with all others.

  Scenario Outline: An odd entry of a member costs no other entry
    # Guards against a balancer that no longer follows the list of members.
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When another writer adds a member with <oddity>
    And an agent in zone-b with a server joins
    And callers open 60 flows at each balancer
    Then all agents hold flows and no handler failed
    And the balancer has counted 1 ignored objects
    When each balancer is replaced
    And callers open 60 flows at each balancer
    Then all agents hold flows and no handler failed

    Examples:
      | oddity                       |
      | arrays in 100,000 levels     |
      | objects in 100,000 levels    |
      | a number of 5,000 digits     |
      | the number NaN               |
      | objects in 300 levels        |
      | a truncated string           |

  Scenario: Fields that no agent writes cost their entry only
    # Guards against errors at each packet because of a value that no message or address
    # can hold.
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When another writer adds a member for each of these oddities
      | oddity                       |
      | null                         |
      | no fields                    |
      | port 70000                   |
      | port 0                       |
      | port -1                      |
      | port 8172.5                  |
      | port null                    |
      | slots 1e999                  |
      | slots 1000000000000000000000 |
      | slots -3                     |
      | slots "5"                    |
      | started_ms 1e999             |
      | started_ms -1                |
      | started_ms 99999999999999999999999 |
      | service "\ud800"             |
      | service ["feed"]             |
      | zone "\udfff"                |
      | zone null                    |
      | server 7                     |
      | server "\ud800"              |
      | state "gone"                 |
      | state ["ready"]              |
      | host "10.0.0.1.example"      |
      | host "\u0000"                |
      | host "127.0.0.1"             |
    And an agent in zone-b with a server joins
    And callers open 60 flows at each balancer
    Then all agents hold flows and no handler failed
    And the balancer has counted 25 ignored objects
    When each balancer is replaced
    And callers open 60 flows at each balancer
    Then all agents hold flows and no handler failed

  Scenario: An odd object in the place of an agent's own entry is replaced
    # Guards against an agent that cannot publish itself, because the conflict with the
    # odd object cannot be parsed.
    Given a store with 1 balancers
    When another writer adds an object in 100,000 levels as the entry of the next agent
    And an agent in zone-a with a server joins
    And callers open 60 flows at each balancer
    Then all agents hold flows and no handler failed

  Scenario Outline: An odd configuration of another writer is not taken
    # Guards against a configuration that the operator has not written, and against values
    # that make the decision on each packet fail.
    Given a store with 1 balancers
    And an agent in zone-a with a server
    When another writer adds a configuration named <name> with <oddity>
    And the operator writes a configuration 0.1 s later
    And callers open 60 flows at each balancer
    Then all agents hold flows and no handler failed
    And each balancer uses the operator's configuration

    Examples:
      | name  | oddity                                     |
      | other | Version 99                                 |
      | other | Version 1e999                              |
      | other | arrays in 100,000 levels                   |
      | main  | Version 99999999999999999999999            |
      | main  | Version -1                                 |
      | main  | Version "9"                                |
      | main  | Routes null                                |
      | main  | arrays in 100,000 levels                   |
      | main  | Services [{"Name": "feed", "ColdPerS": -1}] |
      | main  | Services [{"Name": "feed", "ColdPerS": 1e999}] |
      | main  | Services [{"Name": "\ud800"}]              |

  Scenario Outline: An odd object beside the evacuated zones costs no zone
    Given a store with 1 balancers
    And an agent in zone-a with a server
    And an agent in zone-b with a server
    When another writer adds an evacuated zone with <oddity>
    And the store loses its responses for 0.0 s
    And the operator evacuates zone-a 0.1 s later
    Then each balancer opens no flows in zone-a at most 4.0 s after the last loss
    And no handler failed

    Examples:
      | oddity                   |
      | arrays in 100,000 levels |
      | a number of 5,000 digits |
      | port 70000               |
