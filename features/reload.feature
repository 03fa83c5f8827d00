Feature: Reload of settings by a running node

  Scenario: A balancer applies new settings after SIGHUP
    # Guards against nodes that use old peers and intervals until their next start.
    Given a running balancer
    When its settings change to other peers, another store and a flow lifetime of 5 s
    And it is told to reload them
    Then it uses the new peers and the new store
    And it drops an idle flow after 5 s
    And the log names the changed settings

  Scenario: An agent applies new settings after SIGHUP
    Given a running agent
    When its settings change to another server address and a report interval of 3 s
    And it is told to reload them
    Then packets go to the new server address
    And its server is considered silent after 7.5 s without a report

  Scenario: A settings file that changes without a signal is reloaded
    # The platform is not required to signal a change, so nodes must also check the file.
    Given a running balancer
    When its settings change to other peers, another store and a flow lifetime of 5 s
    And 6 s pass without a signal
    Then it uses the new peers and the new store

  Scenario: Settings that cannot be read leave the present ones in force
    Given a running balancer
    When its settings cannot be read
    And it is told to reload them
    Then it keeps its peers and its store
    And the failure is logged and counted

  Scenario: A changed listening address takes effect at the next start
    Given a running balancer
    When its settings change to another packet port
    And it is told to reload them
    Then packets are still received at the old port
    And the log tells that the change takes effect at the next start
