Feature: Adapter to the users' platform

  Guards against wrong translations and against malformed input.

  Scenario: The first packet of a caller is decoded
    Given the packet a1b2c3d5 11223344 00000000 64400007 01bb 9c41 c6120001 0000 00000000 20 00
    When it is decoded as a caller's packet
    Then its flow is 100.64.0.7:40001 to 198.18.0.1:443
    And it is a SYN packet with the sequence number 287454020

  Scenario Outline: The age of a first packet follows from its retransmissions
    # Guards against slots for callers that have given up. The number of retransmissions
    # in the packet tells its age even to a balancer that has just started.
    Given the packet a1b2c3d5 11223344 <count> 64400007 01bb 9c41 c6120001 0000 00000000 20 00
    When it is decoded as a caller's packet
    Then the flow was opened <age> s ago

    Examples:
      | count    | age |
      | 00000000 | 0   |
      | 00000001 | 0.2 |
      | 00000002 | 0.6 |
      | 00000009 | 0.6 |

  Scenario: A reset packet is built
    When a reset of the flow 100.64.0.7:40001 to 198.18.0.1:443 is built with the sequence number 0
    Then the bytes of the reset are 00000000 00000000 00000000 c6120001 9c41 01bb 64400007 0000 00000000 04 00

  Scenario: The mark of a returned packet is cleared
    # Guards against a packet that reaches another server with the mark set.
    Given the packet a1b2c3d5 11223344 00000000 64400007 01bb 9c41 c6120001 0000 0badcafe 21 00
    When it is decoded as a server's packet
    Then its flow is 100.64.0.7:40001 to 198.18.0.1:443
    And it is marked as returned
    And its bytes are a1b2c3d5 11223344 00000000 64400007 01bb 9c41 c6120001 0000 0badcafe 20 00

  Scenario: Packets of both directions have the same flow key
    Given the packet 00000000 00000005 11223345 c6120001 9c41 01bb 64400007 0000 00000000 28 00
    When it is decoded as a server's packet
    Then its flow is 100.64.0.7:40001 to 198.18.0.1:443

  Scenario: Random packets are decoded or rejected
    When 500 random packets are decoded in both directions
    Then no exception was raised and packets with a wrong length were rejected

  Scenario: The configuration is parsed
    Given a configuration with a split route, a plain route and an unknown field
    When the configuration is parsed
    Then the route 198.18.0.1:443 is split web 90 to api 10
    And the route 198.18.0.2:8443 goes to api only
    And a cold api server is limited to 4 flows per second

  Scenario: The service level of a route is parsed
    # Guards against callers of a route with a high priority that wait behind others.
    Given a configuration with a split route, a plain route and an unknown field
    When the configuration is parsed
    Then the callers of 198.18.0.1:443 expect 0.25 s, wait 1.5 s and have priority 2
    And the callers of 198.18.0.2:8443 expect 1 s, wait 10 s and have priority 0

  Scenario Outline: Service levels out of range are rejected
    Given a configuration whose <field> is <value>
    Then the configuration is rejected

    Examples:
      | field     | value    |
      | Priority  | -1       |
      | GoalMs    | -5       |
      | GoalMs    | NaN      |
      | TimeoutMs | Infinity |

  Scenario: Corrupted configurations are parsed or rejected
    When 300 corrupted configurations are parsed
    Then each was parsed or rejected with an error

  Scenario: A service with weight 0 gets no flows
    Given a configuration whose split gives api the weight 0
    When the configuration is parsed
    Then the route 198.18.0.1:443 goes to web only

  Scenario Outline: Malformed heartbeats are rejected
    Given a heartbeat with <field> set to <value>
    When the heartbeat is parsed
    Then the heartbeat is rejected

    Examples:
      | field   | value     |
      | Service | 7         |
      | Service | missing   |
      | State   | "resting" |
      | Slots   | "5"       |
      | Slots   | true      |
      | Seq     | missing   |
      | Zone    | null      |

    Examples: values that no message can hold
      | field      | value                   |
      | Slots      | 1000000000000000000000  |
      | Slots      | -1                      |
      | born       | 1e999                   |
      | born       | 99999999999999999999999 |
      | born       | "now"                   |
      | ColdLeftMs | 1e999                   |
      | ColdLeftMs | NaN                     |
      | ColdLeftMs | -5                      |
      | Service    | "\ud800"                |
      | State      | ["ready"]               |

  Scenario: A heartbeat is parsed
    Given a heartbeat with ColdLeftMs set to 1500
    When the heartbeat is parsed
    Then it reports server i-1 of web as ready with 5 slots and 1.5 s of cold time

  Scenario: Random bodies are rejected
    When 300 random bodies are sent as heartbeats
    Then each was rejected with an error

  Scenario: Settings are parsed
    Given the settings of an agent with an unknown field
    When the settings are read
    Then packets arrive at 10.1.0.13:8172 and the store is at 10.200.1.7:8169

  Scenario Outline: Settings without a required field are rejected
    Given the settings of an agent without <field>
    When the settings are read
    Then the settings are rejected and the error names <field>

    Examples:
      | field    |
      | Node     |
      | Listen   |
      | platform |

  Scenario Outline: Odd settings are rejected
    # Guards against an error in the periodic check of the settings, which is not called
    # again after one.
    Given the settings of an agent with <field> set to <value>
    When the settings are read
    Then the settings are rejected

    Examples:
      | field             | value           |
      | Bounds            | null            |
      | Limits            | []              |
      | Listen            | null            |
      | Seeds             | null            |
      | Seeds             | [7]             |
      | InternalPortRange | [7720]          |
      | platform          | []              |
      | HeartbeatMs       | "fast"          |
      | HeartbeatMs       | NaN             |
      | Bounds            | {"GraceS": 1e999} |

  Scenario: Only the adapter contains names of the platform
    Then no module outside the adapter contains a name of the platform
