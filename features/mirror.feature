Feature: Copies of the store's objects and the node's own object

  Guards against copies that miss a change after a gap, and against writes that are lost,
  repeated or executed late.

  Scenario: A watch brings changes in order
    Given a store with members a and b
    And a mirror of the members that has started
    When c is added to the store
    And a is deleted from the store
    Then the mirror holds b and c

  Scenario: Objects on several pages are all listed
    # Guards against changes lost between the pages.
    Given a store with 7 members on pages of 3
    And a mirror of the members that has started
    Then the mirror holds 7 members

  Scenario: A lost history is listed again
    Given a store with members a and b
    And a mirror of the members that has started
    When the store loses its history while a is deleted and c is added
    And the store's clock advances by 1 s
    Then the mirror holds b and c

  Scenario: The copy stays while the store is down
    # Guards against a balancer that forgets its members during an outage.
    Given a store with members a and b
    And a mirror of the members that has started
    When the store is down
    And the store's clock advances by 10 s
    Then the mirror holds a and b
    When the store is up again with c added
    And the store's clock advances by 2 s
    Then the mirror holds a, b and c

  Scenario: A copy whose watch is waiting is confirmed at once
    Given a store with members a and b
    And a mirror of the members that has started
    When the store's clock advances by 1 s
    And the copy is to be confirmed
    Then it is confirmed with a and b

  Scenario: A copy in the pause after a change is confirmed with later changes
    # Guards against decisions on a copy that lacks what changed during the pause.
    Given a store with members a and b
    And a mirror of the members that pauses for 1 s after each change
    When c is added to the store
    And d is added to the store
    And the copy is to be confirmed
    Then it is confirmed with a, b, c and d

  Scenario: A copy that is listed again in a pause is watched once
    # Guards against two watches of one kind, each of which costs calls.
    Given a store with members a and b
    And a mirror of the members that pauses for 1 s after each change
    When c is added to the store
    And the mirror is restarted
    And the copy is to be confirmed
    And the store's clock advances by 2 s
    Then the store has 1 waiting watch besides abandoned ones

  Scenario: A copy is not confirmed while the store is down
    Given a store with members a and b
    And a mirror of the members that has started
    When the store is down
    And the store's clock advances by 1 s
    And the copy is to be confirmed
    And the store's clock advances by 1 s
    Then it is not confirmed yet
    When the store is up again with c added
    And the store's clock advances by 3 s
    Then it is confirmed with a, b and c

  Scenario: The mirrors of a node ask a store that is down in turn
    # Guards against calls that cost as much as answered ones, three at a time.
    Given a store with members a and b
    And a mirror of the members that has started
    And two more mirrors on the same node
    When the store is down
    And the store's clock advances by 10 s
    Then the store refused at most 30 calls
    When the store is up again with c added
    And the store's clock advances by 2 s
    Then all three mirrors hold a, b and c

  Scenario: A watch that reached a silent store does not hide later changes
    # Guards against a configuration that is seen 20 s after the store's return.
    Given a store with members a and b
    And a mirror of the members that has started
    When the store falls silent and the mirror's watch times out
    And the store's clock advances by 1 s
    And the store answers again
    And c is added to the store
    And the store's clock advances by 3 s
    Then the mirror holds a, b and c

  Scenario: A repeated call that stays silent does not keep the others waiting
    # Guards against copies that wait for a watch which is answered after many seconds.
    Given a queue of retries with two calls, of which the first stays silent
    When 1.2 s pass at the mirror
    Then both calls were repeated once

  Scenario: A copy that may lag is brought up to date before it is confirmed
    # Guards against resets of flows whose owner joined within the lag.
    Given a store with members a and b
    And a mirror of the members that may lag
    When the store's reads that may lag stay behind from now on
    And c is added to the store
    And the store's clock advances by 1 s
    Then the mirror holds a and b
    When the copy is to be confirmed
    Then it is confirmed with a, b and c

  Scenario: An old answer does not bring back a member that has left
    # Guards against flows placed on a server that is gone.
    Given a store with members a and b
    And a mirror of the members that may lag
    When c is added and deleted while no watch is answered
    And the copy is to be confirmed
    Then it is confirmed with a and b
    When the watch that waits is answered with the state before c was deleted
    And the store's clock advances by 1 s
    Then the mirror holds a and b

  Scenario: A store that lags is not asked again and again
    # Guards against calls in a row while each answer is older than the copy.
    Given a store with members a and b
    And a mirror of the members that may lag
    When the store's reads that may lag stay behind from now on
    And c is added to the store
    And the copy is to be confirmed
    And the store's clock advances by 5 s
    Then the store got at most 6 calls that may lag

  Scenario: Confirmations in a row share calls
    # Guards against a call for each flow that is reset after a loss of power.
    Given a store with members a and b
    And a mirror of the members that may lag
    When the copy is to be confirmed 100 times within 1 s
    Then it is confirmed 100 times after at most 8 calls

  Scenario: A copy that may lag is confirmed after the store is back
    Given a store with members a and b
    And a mirror of the members that may lag
    When the store is down
    And the copy is to be confirmed
    And the store's clock advances by 1 s
    Then it is not confirmed yet
    When the store is up again with c added
    And the store's clock advances by 2 s
    Then it is confirmed with a, b and c

  Scenario: A node's object is written when it changes only
    Given an empty store and a publisher
    When it publishes ready
    And it publishes ready
    And it publishes draining
    Then the store holds draining
    And the store took 2 writes

  Scenario Outline: A write whose answer was lost is recognised
    # Guards against a second object, and against a retry that never ends.
    Given an empty store and a publisher
    When the store loses the answer to a write that is <fate>
    And it publishes ready
    And the store's clock advances by 3 s
    Then the store holds ready
    And the publisher is settled

    Examples:
      | fate     |
      | done     |
      | not done |

  Scenario: A late write does not undo a newer one
    Given an empty store and a publisher
    When it publishes ready
    And the store executes a write only after 2 s
    And it publishes draining
    And the store's clock advances by 1 s
    And it publishes ready
    And the store's clock advances by 5 s
    Then the store holds ready

  Scenario: An object is back within two seconds of the store's return
    Given an empty store and a publisher
    When the store is down
    And it publishes ready
    And the store's clock advances by 30 s
    And the store is up again
    And the store's clock advances by 2 s
    Then the store holds ready

  Scenario: A server that takes its leave disappears
    Given an empty store and a publisher
    When it publishes ready
    And it publishes nothing
    Then the store holds nothing
    When it publishes nothing
    Then the store took 2 writes

  Scenario: An object of a former lifetime is taken over
    Given an empty store and a publisher
    When another process has published draining
    And it publishes ready
    Then the store holds ready
