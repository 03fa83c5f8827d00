Feature: Changed settings of a running node

  Scenario: A balancer applies new settings after SIGHUP
    # Guards against nodes that keep seeds and times until their next start.
    Given a running balancer
    When its settings name other peers, another store and a flow lifetime of 5 s
    And it is told to read them again
    Then it asks the other peers and the other store
    And it forgets an idle flow after 5 s
    And the change is logged with the names of the settings

  Scenario: An agent applies new settings after SIGHUP
    Given a running agent
    When its settings name another server address and an interval of 3 s between reports
    And it is told to read them again
    Then packets go to the other server address
    And its server counts as silent after 7.5 s without a report

  Scenario: A file that changes without a signal is noticed
    # Guards against settings that wait for a signal which the platform need not send.
    Given a running balancer
    When its settings name other peers, another store and a flow lifetime of 5 s
    And it runs on for 6 s
    Then it asks the other peers and the other store

  Scenario: Unreadable settings leave those in force
    Given a running balancer
    When its settings cannot be read
    And it is told to read them again
    Then it keeps its peers and its store
    And the failure is logged and counted

  Scenario: Addresses in use hold until the next start
    Given a running balancer
    When its settings name another port for packets
    And it is told to read them again
    Then packets are received at the former port
    And the log tells that the change waits for the next start
