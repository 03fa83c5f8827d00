Feature: Adapter to the users' platform

  Guards against wrong translations and against input from other writers.

  Scenario: A caller's first packet is read
    Given the packet a1b2c3d5 11223344 00000000 64400007 01bb 9c41 c6120001 0000 00000000 20 00
    When it is read as a caller's packet
    Then its flow is 100.64.0.7:40001 to 198.18.0.1:443
    And it is a first packet with the number 287454020

  Scenario Outline: A copy of a first packet tells its age
    # Guards against slots for callers that have given up: the age is known from the
    # number of copies even by a balancer that has just started.
    Given the packet a1b2c3d5 11223344 <copies> 64400007 01bb 9c41 c6120001 0000 00000000 20 00
    When it is read as a caller's packet
    Then it was first sent <age> s before

    Examples:
      | copies   | age |
      | 00000000 | 0   |
      | 00000001 | 0.2 |
      | 00000002 | 0.6 |
      | 00000009 | 0.6 |

  Scenario: A reset is built
    When a reset of the flow 100.64.0.7:40001 to 198.18.0.1:443 is built with number 0
    Then the reset reads 00000000 00000000 00000000 c6120001 9c41 01bb 64400007 0000 00000000 04 00

  Scenario: A returned packet is as its sender wrote it
    # Guards against a mark that would reach another server with the packet.
    Given the packet a1b2c3d5 11223344 00000000 64400007 01bb 9c41 c6120001 0000 0badcafe 21 00
    When it is read as a server's packet
    Then its flow is 100.64.0.7:40001 to 198.18.0.1:443
    And it is marked as returned
    And its data are a1b2c3d5 11223344 00000000 64400007 01bb 9c41 c6120001 0000 0badcafe 20 00

  Scenario: Packets of both directions have one flow
    Given the packet 00000000 00000005 11223345 c6120001 9c41 01bb 64400007 0000 00000000 28 00
    When it is read as a server's packet
    Then its flow is 100.64.0.7:40001 to 198.18.0.1:443

  Scenario: Packets of any bytes are read or refused
    When 500 random packets are read in both directions
    Then none raised an error and short or mislabelled ones were refused

  Scenario: The configuration is translated
    Given a configuration with a split route, a plain route and an unknown field
    When the configuration is read
    Then the route 198.18.0.1:443 is split web 90 to api 10
    And the route 198.18.0.2:8443 goes to api alone
    And a cold api server bears 4 flows per second

  Scenario: The service level of a route is translated
    # Guards against callers of an important route that wait behind others.
    Given a configuration with a split route, a plain route and an unknown field
    When the configuration is read
    Then the callers of 198.18.0.1:443 expect 0.25 s, wait 1.5 s and have priority 2
    And the callers of 198.18.0.2:8443 expect 1 s, wait 10 s and have priority 0

  Scenario Outline: Service levels that are no numbers of such a kind are refused
    Given a configuration whose <field> is <value>
    Then reading it is refused

    Examples:
      | field     | value    |
      | Priority  | -1       |
      | GoalMs    | -5       |
      | GoalMs    | NaN      |
      | TimeoutMs | Infinity |

  Scenario: Configurations of any content are read or refused
    When 300 damaged configurations are read
    Then each was read or refused with an error

  Scenario: A service without a share of the flows is left out
    # Guards against flows placed at a service with weight 0.
    Given a configuration whose split gives api the weight 0
    When the configuration is read
    Then the route 198.18.0.1:443 goes to web alone

  Scenario Outline: Heartbeats of other writers are refused
    Given a heartbeat with <field> set to <value>
    When the heartbeat is read
    Then the heartbeat is refused

    Examples:
      | field   | value     |
      | Service | 7         |
      | Service | missing   |
      | State   | "resting" |
      | Slots   | "5"       |
      | Slots   | true      |
      | Seq     | missing   |
      | Zone    | null      |

  Scenario: A heartbeat is translated
    Given a heartbeat with ColdLeftMs set to 1500
    When the heartbeat is read
    Then it reports server i-1 of web as ready with 5 slots and 1.5 s of cold time

  Scenario: Bodies of any bytes are refused
    When 300 random bodies are sent as heartbeats
    Then each was refused with an error

  Scenario: Settings are translated
    Given the settings of an agent with an unknown field
    When the settings are read
    Then packets arrive at 10.1.0.13:8172 and the store is at 10.200.1.7:8169

  Scenario Outline: Settings that lack what is needed are refused
    Given the settings of an agent without <field>
    When the settings are read
    Then the settings are refused and the error names <field>

    Examples:
      | field    |
      | Node     |
      | Listen   |
      | platform |

  Scenario: Only the adapter knows the platform's names
    Then no module outside the adapter contains a name of the platform
