Feature: Packet routing in a balancer

  Guards against packets sent to an outdated home, a cache that grows without bound, and
  changes that move more flows than necessary.

  Scenario: Every cached route leads to the home in the current view
    When 500 flows are routed twice under each of 30 generated views
    Then each route is the first candidate in rendezvous order, with the view's version

  Scenario: The route cache is bounded
    When packets of 5000 flows are routed with a cache of 1000 routes
    Then the cache holds at most 1000 routes and the last 400 flows

  Scenario: Packets without a route are refused with the reason
    When a fragment of a cached flow and packets without service or member are routed
    Then the reasons are malformed, no_service, no_member
    And 20000 random packets are refused without an exception

  Scenario: A weight change moves only flows of the changed member
    When the homes of 20000 flows are compared before and after a weight change
    Then only flows of the changed member move, and shares follow the weights
