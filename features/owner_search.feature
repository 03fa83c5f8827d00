Feature: Search for the owner of a flow that no process remembers

  After the end of all processes, neither balancers nor agents know the flows that the
  backend servers still hold. Only a server can tell, by a packet of the flow: it returns
  one of a flow that it does not hold.

  Scenario: Two balancers place a flow on the same members
    # Guards against a random choice, after which every server may hold the flow.
    Given two balancers of one zone that know 12 idle members
    When both place 200 flows
    Then both have chosen the same member for each flow
    And each member got between 5 and 30 flows
