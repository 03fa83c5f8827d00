Feature: Connection of a node to the platform

  Scenario: Renewed leases do not end watches
    Guards against a watch call for each renewed lease: at the planned size, these are
    more calls than the platform accepts.
    Given a platform with a connected node
    When 40 leases are renewed and then table "feed" is written
    Then the node receives table "feed"
    And the platform counted at most 8 calls of the node

  Scenario: A change whose response was lost reaches the node within 11 s
    Guards against a table that is not in force 15 s after the operator has applied it,
    because all watching balancers wait for a response on connections that stay open.
    Given a platform with a connected node
    When table "feed" is written and the response to its watch is lost
    Then the node receives table "feed" within 11 s
