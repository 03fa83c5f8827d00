Feature: Control traffic of a balancer with many members

  With 59 balancers and 136 members, a full mesh of reports and queries uses more of a
  low-bandwidth link than the callers' packets, and reports are too infrequent to detect
  failures. A balancer subscribes to a bounded subset of the members, its neighbours. It
  uses the others for flows that its neighbours refuse, and for lookups of flows that its
  neighbours do not own.

  Background:
    Given a balancer in zone 0 that knows 6 zones with 18 members each

  Scenario: A balancer subscribes to the members of its own zone only
    # Guards against control traffic that grows with balancers times members.
    Then it subscribes to the 18 members of zone 0

  Scenario: A member of another zone is asked before a flow is refused
    # Guards against refusals while servers other than the neighbours are free.
    When all members of zone 0 report that they are busy
    And a caller opens a flow
    Then a member of another zone is sent the open request

  Scenario: Members of other zones replace a zone that lost power
    # Guards against first packets sent to a zone that does not answer.
    When all members of zone 0 are silent for 3 s
    Then it subscribes to the 18 members of zone 0 and at least 12 others
    When 12 members of other zones report that they are idle
    And a caller opens a flow
    Then a member of another zone is sent the open request

  Scenario: The flows of a zone whose servers are down are spread over other members
    # Guards against placing all flows on the first member of another zone that accepts
    # one.
    When all members of zone 0 report that their servers are down
    And 0.3 s pass at the large balancer
    Then it subscribes to the 18 members of zone 0 and at least 12 others
    When 12 members of other zones report that they are idle
    And 60 callers open flows that are accepted
    Then no member has accepted more than 12 of them

  Scenario: A recovered zone is used again
    # Guards against neighbours that are dropped during an outage and not selected again.
    When all members of zone 0 are silent for 3 s
    And all members of zone 0 report that they are idle
    And 0.5 s pass at the large balancer
    Then it subscribes to the 18 members of zone 0

  Scenario: Members of other zones replace an evacuated zone
    When zone 0 is evacuated
    And 0.5 s pass at the large balancer
    Then it subscribes to the 18 members of zone 0 and at least 12 others

  Scenario: Members without a subscription do not count as lost
    # Guards against resets of flows whose owners were never asked for load reports.
    When for 5 s all members of zone 0 report that they are idle
    Then no member counts as lost

  Scenario: A balancer subscribes to a flow owner that is no neighbour
    # Guards against flows that hang after the VM of a server in another zone has failed.
    When the owner of a flow is found in zone 3
    Then that member is sent a subscription
    When for 3 s all members of zone 0 report that they are idle
    Then the caller of that flow is reset

  Scenario: A lookup starts with the neighbours
    # Guards against queries to all members for each flow that is rerouted.
    When a packet of a flow without a known owner arrives
    Then the 18 members of zone 0 are queried for its owner
    When all queried members deny ownership
    Then the 90 members of other zones are queried for its owner

  Scenario: No server is probed before all members were queried
    # Guards against a flow assigned to a neighbour whose server is slow to return the
    # packet of a probe, while the owner in another zone is certain.
    When a packet of a flow without a known owner arrives
    And all queried members answer that they are unsure
    Then the 90 members of other zones are queried for its owner
    And no member was sent a lookup probe
    When member 40 answers that it owns the flow
    Then the packet is relayed to member 40 only

  Scenario: A silent neighbour does not delay the queries to other zones
    # Guards against a lookup that waits for a VM that has just lost power.
    When a packet of a flow without a known owner arrives
    And 0.2 s pass at the large balancer
    Then all 108 members were queried for its owner

  Scenario: A member of another zone is subscribed to until its answer arrives
    # Guards against resets of the member's flows after a single lost query.
    When a packet of a flow without a known owner arrives
    And all queried members deny ownership
    And the members of other zones except member 40 deny ownership
    And for 2 s all members of zone 0 report that they are idle
    Then member 40 was sent at least 5 subscriptions
    When member 40 reports that it is idle
    And for 5 s all members of zone 0 report that they are idle
    Then no member counts as lost

  Scenario: Subscriptions to a lost member of another zone continue
    # Guards against a member that counts as lost for good after a network partition.
    When a packet of a flow without a known owner arrives
    And all queried members deny ownership
    And the members of other zones except member 40 deny ownership
    And for 12 s all members of zone 0 report that they are idle
    Then only member 40 counts as lost
    And member 40 was sent a subscription in the last second

  Scenario: A change of one member changes few neighbours
    # Guards against a burst of subscriptions at each change.
    Given 20 balancers that subscribe to 32 of 100 members each
    When one member is removed
    Then each balancer subscribes to at most one new member
    And each member has at least one subscriber
