Feature: Connection of a node to the platform

  Scenario: Renewed leases do not end watches
    Guards against a watch call for each renewed lease: at the planned size, these are
    more calls than the platform accepts.
    Given a platform with a connected node
    When 40 leases are renewed and then table "feed" is written
    Then the node receives table "feed"
    And the platform counted at most 8 calls of the node
