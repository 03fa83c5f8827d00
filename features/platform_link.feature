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

  Scenario Outline: An odd object of another writer costs no other object
    Guards against a node that gets no further table, because a response with one odd
    object is refused as a whole, or ends with an error.
    Given a platform with a connected node
    When another writer leaves table "odd" with <field> set to <value>
    And table "feed" is written
    Then the node receives table "feed"
    And a node that connects now receives table "feed"
    And no response ended with an error

    Examples:
      | field   | value          |
      | body    | 7              |
      | body    | "\ud800"       |
      | nonce   | null           |
      | note    | []             |
      | history | [{"version": "x"}] |
      | version | -1             |
      | version | 1180591620717411303424 |
      | version | 1e999          |
      | key     | "table/\ud800" |
      | key     | null           |
      | epoch   | 1e999          |
      | epoch   | 99999999999999999999 |
