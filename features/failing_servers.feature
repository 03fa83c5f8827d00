Feature: Servers that fail their callers

  An agent judges its server by the outcome of requests. While they fail, it refuses new
  flows, and balancers prefer other members. Open flows stay where they are.

  Scenario Outline: Requests fail at a server that answers its health check
    # Guards against new flows at a server that <does>: it looks idle, and is preferred.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server <does> 2 requests
    Then the next first packet is refused as failing
    And the agent reports that its server fails
    And no open flow was reset

    Examples:
      | does              |
      | does not answer   |
      | resets flows of   |
      | closes flows of   |
      | returns flows for |

  Scenario: The server stops reporting
    # Guards against balancers that go on asking members of which they know that they
    # refuse, while all others are busy.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server is silent for 1.5 s
    Then the agent reports that its server fails

  Scenario: The part is switched off
    # Guards against effects on deployments that have not asked for the part.
    Given an agent whose server has 2 slots and answers within 0.03 s
    When the server closes flows of 5 requests
    Then the next first packet is admitted

  Scenario: A full server rejects requests
    # Guards against an overload that is taken for a fault: with each server that is
    # left out, the others get more.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server closes flows of requests that arrive while 4 others are in progress
    Then the agent reports that its server is sound

  Scenario: Requests wait for others at a slow server
    # Guards against a queue that is taken for a fault: the age of a request counts by
    # the number of those before it.
    Given an agent whose server has 1 slot and answers within 0.2 s
    When 6 requests arrive at once and are answered in turn
    Then the agent reports that its server is sound

  Scenario: Some requests take much longer than others
    # Guards against kinds of requests that are slow by nature and taken for a fault.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server answers 1 request after 1.0 s
    And the server answers 3 requests after 1.2 s
    Then the agent reports that its server is sound

  Scenario: The end of a flow overtakes the response
    # Guards against sound servers that are avoided because of packets out of order.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the end of a flow arrives 0.001 s before the response, 4 times
    Then the agent reports that its server is sound

  Scenario: A caller gives up
    # Guards against callers that end their flows and make a sound server look bad.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When 3 callers send a request and end their flow before the response
    Then the agent reports that its server is sound

  Scenario: The server recovers
    # Guards against a server that is flooded when it may not have recovered, and one that
    # is left idle when it has.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server closes flows of 2 requests
    And the server reports for 0.51 s
    Then the next first packet is admitted
    And the next first packet is refused as failing
    When the server answers 2 requests in time
    Then the agent reports that its server is sound

  Scenario: The server fails again and again
    # Guards against callers lost at a server that goes down and up by turns.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server fails at the end of each of 5 pauses
    Then the pauses last 0.5, 1.0, 2.0, 4.0 and 4.0 s
    When the server reports for 12 s
    And the server answers 2 requests in time
    And the server closes flows of 2 requests
    Then the pauses last 0.5 s

  Scenario: Another server takes the place of the failing one
    # Guards against a new server that is left idle for the failures of the former one.
    Given an agent whose server has 1 slot and answers within 0.03 s
    When the server closes flows of 2 requests
    And another server reports in its place
    Then the agent reports that its server is sound

  Scenario: Some members fail
    # Guards against flows placed on failing members because they look idle.
    Given a balancer with 4 members, of which 2 fail
    When 40 first packets arrive and each member accepts
    Then only sound members were asked
    When a failing member offers a slot
    Then the failing member's offer is declined

  Scenario: All members fail
    # Guards against a service that nobody serves because all of its servers are suspected.
    Given a balancer with 4 members, of which 4 fail
    When 40 first packets arrive and each member accepts
    Then all members were asked as the last resort
    And their agents would admit the flows

  Scenario Outline: Members fail and the others are busy
    # Guards against sound servers that are overloaded because most others are suspected,
    # and against failing ones that get flows whenever the others are busy.
    Given a balancer with 4 members, of which <failing> fail
    When one first packet arrives and the sound members are busy
    Then the caller who finds no sound member <outcome>

    Examples:
      | failing | outcome                            |
      | 2       | waits                              |
      | 3       | is sent to a member that fails     |

  Scenario: Agents refuse that were not known to fail
    # Guards against flows refused for good when a balancer learns late that all fail.
    Given a balancer with 4 members, of which 0 fail
    When one first packet arrives and members refuse as failing until the last resort
    Then a member was asked as the last resort within 0.1 s

  Scenario: Servers go down and up by turns
    # Guards against servers that reset each flow half of the time, look idle and lose the
    # requests of callers that could be served elsewhere.
    Given a modelled deployment of which 2 of 7 servers reset all flows for 0.7 s of every 1.4 s
    When 20 s are played with the part and without it
    Then the part saves at least 80 % of the requests that were lost
    And no open flow is broken
