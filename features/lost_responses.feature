Feature: Nodes while the store loses its responses

  The real nodes run on loopback addresses, with a stand-in of the store that executes
  calls without a response and leaves their connections open. Afterwards, all calls on
  other connections are answered.

  Scenario Outline: A change by the operator is in force 4 s after the last lost response
    # Guards against flows that are opened in an evacuated zone, or by an older
    # configuration, until the watch of the change times out. As all balancers miss the
    # change, none can learn it from the others.
    Given a store with 2 balancers
    And an agent in zone-a with a server
    And an agent in zone-b with a server
    When the store loses its responses for <loss> s
    And the operator <change> <delay> s later
    Then each balancer <effect> at most 4.0 s after the last loss

    Examples:
      | change                 | effect                       | loss | delay |
      | evacuates zone-a       | opens no flows in zone-a     | 1.0  | 0.3   |
      | writes a configuration | has the latest configuration | 1.0  | 0.3   |
      | writes a configuration | has the latest configuration | 2.0  | 1.9   |
