Feature: Mirrors of store objects and publishing of a node's own object

  Guards against mirrors that miss a change after a gap in the history, and against writes
  that are lost, repeated or executed late.

  Scenario: A watch delivers changes in order
    Given a store with members a and b
    And a mirror of the members that has started
    When c is added to the store
    And a is deleted from the store
    Then the mirror holds b and c

  Scenario: A listing includes the objects of all pages
    # Guards against changes lost between pages.
    Given a store with 7 members on pages of 3
    And a mirror of the members that has started
    Then the mirror holds 7 members

  Scenario: A mirror lists the objects again after the store has lost its history
    Given a store with members a and b
    And a mirror of the members that has started
    When the store loses its history while a is deleted and c is added
    And the store's clock advances by 1 s
    Then the mirror holds b and c

  Scenario: The copy is kept during an outage of the store
    # Guards against a balancer that drops its members during an outage.
    Given a store with members a and b
    And a mirror of the members that has started
    When the store is down
    And the store's clock advances by 10 s
    Then the mirror holds a and b
    When the store is up again with c added
    And the store's clock advances by 2 s
    Then the mirror holds a, b and c

  Scenario: A copy with a pending watch is confirmed immediately
    Given a store with members a and b
    And a mirror of the members that has started
    When the store's clock advances by 1 s
    And a confirmation of the copy is requested
    Then the confirmed copy holds a and b

  Scenario: A confirmation during the batch delay includes later changes
    # Guards against decisions based on a copy that lacks changes made during the delay.
    Given a store with members a and b
    And a mirror of the members with a batch delay of 1 s
    When c is added to the store
    And d is added to the store
    And a confirmation of the copy is requested
    Then the confirmed copy holds a, b, c and d

  Scenario: A mirror that is restarted during the batch delay has one watch
    # Guards against two watches of one kind, each of which costs calls.
    Given a store with members a and b
    And a mirror of the members with a batch delay of 1 s
    When c is added to the store
    And the mirror is restarted
    And a confirmation of the copy is requested
    And the store's clock advances by 2 s
    Then the store has 1 pending watch besides abandoned ones

  Scenario: A copy is not confirmed while the store is down
    Given a store with members a and b
    And a mirror of the members that has started
    When the store is down
    And the store's clock advances by 1 s
    And a confirmation of the copy is requested
    And the store's clock advances by 1 s
    Then the copy is not confirmed yet
    When the store is up again with c added
    And the store's clock advances by 3 s
    Then the confirmed copy holds a, b and c

  Scenario: The mirrors of a node retry one at a time while the store is down
    # Guards against simultaneous retries of all mirrors: a call to a store that is down
    # costs as much as an answered one.
    Given a store with members a and b
    And a mirror of the members that has started
    And two more mirrors on the same node
    When the store is down
    And the store's clock advances by 10 s
    Then the store refused at most 30 calls
    When the store is up again with c added
    And the store's clock advances by 2 s
    Then all three mirrors hold a, b and c

  Scenario: A watch sent while the store does not respond does not delay later changes
    # Guards against configuration changes that arrive only 20 s after the store recovers.
    Given a store with members a and b
    And a mirror of the members that has started
    When the store stops responding and the mirror's watch times out
    And the store's clock advances by 1 s
    And the store responds again
    And c is added to the store
    And the store's clock advances by 3 s
    Then the mirror holds a, b and c

  Scenario Outline: A change whose response was lost arrives within 4 s
    # Guards against an evacuated zone or an old configuration that stays in use until the
    # watch times out: its connection stays open, so nothing else shows the loss.
    Given a store with members a and b
    And a mirror of the members that checks its <reads> watch every 2 s
    When <phase> s pass at the mirror
    And responses to the mirror are lost for <loss> s
    And <delay> s pass at the mirror
    And c is added to the store
    Then it holds a, b and c at most 4.0 s after the loss

    Examples:
      | reads   | phase | loss | delay |
      | current | 0.5   | 0.1  | 0.05  |
      | current | 0.5   | 2.0  | 0.1   |
      | current | 1.9   | 2.0  | 0.2   |
      | current | 1.9   | 2.0  | 1.9   |
      | current | 7.3   | 4.5  | 0.5   |
      | current | 7.3   | 4.5  | 4.4   |
      | current | 17.9  | 2.0  | 0.3   |
      | stale   | 0.5   | 0.1  | 0.05  |
      | stale   | 1.9   | 2.0  | 1.9   |
      | stale   | 7.3   | 4.5  | 4.4   |

  Scenario: A check replaces a watch whose response was lost
    # Guards against a mirror that relies on its checks once the watch is dead.
    Given a store with members a and b
    And a mirror of the members that checks its current watch every 2 s
    When 0.5 s pass at the mirror
    And the response to the watch is lost while c is added
    Then it holds a, b and c at most 0.1 s after the change
    When 0.6 s pass at the mirror
    And d is added to the store
    Then it holds a, b, c and d at most 0.1 s after the change

  Scenario: A change that the watch and the check return is reported once
    # Guards against work that is done twice for each change.
    Given a store with members a and b
    And a mirror of the members that checks its current watch every 2 s
    When 0.5 s pass at the mirror
    And c is added to the store
    And c is deleted from the store
    And 5.0 s pass at the mirror
    Then it reported 3 changes of the copy

  Scenario: Checks are stale reads
    # Guards against a price of the checks above a tenth of that of other calls.
    Given a store with members a and b
    And a mirror of the members that checks its current watch every 2 s
    When 60.0 s pass at the mirror
    Then the store got 4 watches, and at most 31 stale ones

  Scenario: A retried call without a response does not block the other retries
    # Guards against mirrors that wait for a watch which completes after many seconds.
    Given a retry queue with two calls, the first of which gets no response
    When 1.2 s pass at the mirror
    Then both calls were retried once

  Scenario: A mirror with stale reads catches up before it confirms
    # Guards against resets of flows whose owner joined too recently for a stale read.
    Given a store with members a and b
    And a mirror of the members that allows stale reads
    When stale reads no longer include new changes
    And c is added to the store
    And the store's clock advances by 1 s
    Then the mirror holds a and b
    When a confirmation of the copy is requested
    Then the confirmed copy holds a, b and c

  Scenario: A stale response does not restore a deleted member
    # Guards against flows placed on a server that no longer exists.
    Given a store with members a and b
    And a mirror of the members that allows stale reads
    When c is added and deleted while no watch is answered
    And a confirmation of the copy is requested
    Then the confirmed copy holds a and b
    When the pending watch is answered with the state before c was deleted
    And the store's clock advances by 1 s
    Then the mirror holds a and b

  Scenario: Stale responses do not cause watches in a tight loop
    # Guards against immediate repetition while each response is older than the copy.
    Given a store with members a and b
    And a mirror of the members that allows stale reads
    When stale reads no longer include new changes
    And c is added to the store
    And a confirmation of the copy is requested
    And the store's clock advances by 5 s
    Then the store got at most 6 stale reads

  Scenario: Confirmations in quick succession share calls
    # Guards against one call for each flow that is reset after a power failure.
    Given a store with members a and b
    And a mirror of the members that allows stale reads
    When 100 confirmations of the copy are requested within 1 s
    Then the copy is confirmed 100 times with at most 8 calls

  Scenario: A mirror with stale reads confirms after an outage of the store
    Given a store with members a and b
    And a mirror of the members that allows stale reads
    When the store is down
    And a confirmation of the copy is requested
    And the store's clock advances by 1 s
    Then the copy is not confirmed yet
    When the store is up again with c added
    And the store's clock advances by 2 s
    Then the confirmed copy holds a, b and c

  Scenario: A node's object is written only when it changes
    Given an empty store and a publisher
    When it publishes ready
    And it publishes ready
    And it publishes draining
    Then the store holds draining
    And the store took 2 writes

  Scenario Outline: A write whose response was lost is resolved
    # Guards against a second object and against endless retries.
    Given an empty store and a publisher
    When the store loses the response to a write that was <execution>
    And it publishes ready
    And the store's clock advances by 3 s
    Then the store holds ready
    And the publisher is settled

    Examples:
      | execution    |
      | executed     |
      | not executed |

  Scenario: A delayed write does not overwrite a newer one
    Given an empty store and a publisher
    When it publishes ready
    And the store executes a write only after 2 s
    And it publishes draining
    And the store's clock advances by 1 s
    And it publishes ready
    And the store's clock advances by 5 s
    Then the store holds ready

  Scenario: An object is published within two seconds after an outage of the store
    Given an empty store and a publisher
    When the store is down
    And it publishes ready
    And the store's clock advances by 30 s
    And the store is up again
    And the store's clock advances by 2 s
    Then the store holds ready

  Scenario: The object of a server that stops is deleted
    Given an empty store and a publisher
    When it publishes ready
    And it publishes nothing
    Then the store holds nothing
    When it publishes nothing
    Then the store took 2 writes

  Scenario: An object written by an earlier process is overwritten
    Given an empty store and a publisher
    When another process has published draining
    And it publishes ready
    Then the store holds ready

  Scenario: A mirror misses no change of a restored store
    # Guards against a watch that continues at a revision which the restored store has
    # assigned again.
    Given a store with members a and b
    And a mirror of the members that has started
    When c is added to the store
    And the store is down
    And the store is restored to the state before c was added
    And d is added to the restored store
    And the store is up again
    And the store's clock advances by 5 s
    Then the mirror holds a, b and d

  Scenario: A confirmation is not based on a revision of an earlier epoch
    # Guards against flows that are reset because the list of members seems complete.
    Given a store with members a and b
    And a mirror of the members that has started
    When c is added to the store
    And the store is restored to the state before c was added
    And d is added to the restored store
    And a confirmation of the copy is requested
    And the store's clock advances by 1 s
    Then the confirmed copy holds a, b, c and d

  Scenario: Objects that a restored store lacks are kept until they can be written again
    # Guards against balancers that forget members which the store has lost.
    Given a store with members a and b
    And a mirror of the members that has started
    When c is added to the store
    And the store is down
    And the store is restored to the state before c was added
    And the store is up again
    And the store's clock advances by 2 s
    Then the mirror holds a, b and c
    When the store's clock advances by 5 s
    Then the mirror holds a and b

  Scenario: An object that is written again at a lower revision is not ignored
    Given a store with members a and b
    And a mirror of the members that has started
    When c is added to the store
    And d is added to the store
    And the store is down
    And the store is restored to the state before c was added
    And the store is up again
    And the store's clock advances by 1 s
    And d is added to the store
    And the store's clock advances by 5 s
    Then the mirror holds a, b and d

  Scenario Outline: A publisher writes its object again to a restored store
    # Guards against a server that no balancer knows, and against a server that has left
    # and is used again.
    Given an empty store and a publisher
    When it publishes <first>
    And it publishes <second>
    And the store is restored to the state in which it held <restored>
    And another call shows that the store was restored
    And the store's clock advances by 2 s
    Then the store holds <second>

    Examples:
      | first | second   | restored |
      | ready | draining | nothing  |
      | ready | draining | ready    |
      | ready | nothing  | ready    |

  Scenario: An object that a restored store still has costs one call
    Given an empty store and a publisher
    When it publishes ready
    And the store is restored to the state in which it held ready
    And another call shows that the store was restored
    And the store's clock advances by 2 s
    Then the store holds ready
    And the store took at most 2 writes

  Scenario: A write that a restored store executes late is corrected
    # Guards against a write of an earlier epoch whose condition holds again.
    Given an empty store and a publisher
    When it publishes ready
    And the store executes a write only after 3 s
    And it publishes draining
    And the store's clock advances by 1 s
    And it publishes ready
    And the store is restored to the state in which it held ready
    And another call shows that the store was restored
    And the store's clock advances by 15 s
    Then the store holds ready

  Scenario Outline: A publisher that is told of a change writes again
    Given an empty store and a publisher
    When it publishes ready
    And another writer <changes> its object and it is told
    And the store's clock advances by 1 s
    Then the store holds ready
    And the publisher has counted 1 contradiction, <reason>, and 1 repeated write
    And the store took <writes> writes

    Examples:
      | changes  | reason     | writes |
      | replaces | other      | 3      |
      | breaks   | unreadable | 3      |
      | deletes  | missing    | 3      |

  Scenario Outline: A publisher that finds a change writes again
    # Guards against a change that no balancer saw.
    Given an empty store and a publisher
    When it publishes ready
    And the store's clock advances by 15 s
    And another writer <changes> its object
    And the publisher checks its object
    Then the store holds ready
    And the store took 3 writes

    Examples:
      | changes  |
      | replaces |
      | breaks   |
      | deletes  |

  Scenario: A stale read that lacks the last write is no contradiction
    # Guards against writes at each check while stale reads lag.
    Given an empty store and a publisher
    When it publishes ready
    And the store's clock advances by 2 s
    And another writer deletes its object
    And the publisher checks its object
    Then the store took 1 writes

  Scenario: A publisher ignores news of its own writes
    # Guards against a write for each change that balancers see.
    Given an empty store and a publisher
    When it publishes ready
    And it publishes draining
    And it is told of each change so far
    And it publishes nothing
    And it is told of each change so far
    And the publisher checks its object
    And the store's clock advances by 2 s
    Then the store took 3 writes
    And the store holds nothing

  Scenario: Two writers of one object do not write at the rate of the store
    Given an empty store and a publisher
    When it publishes ready
    And another writer replaces its object 100 times in 2 s and it is told each time
    And the store's clock advances by 1 s
    Then the store holds ready
    And the store took at most 14 writes

  Scenario: Another writer that is faster than the store is not followed call by call
    # Guards against hundreds of calls a second while each write meets a later one.
    Given an empty store and a publisher
    When it publishes ready
    And another writer replaces its object before each write
    And another writer replaces its object and it is told
    And the store's clock advances by 4 s
    Then the store took at most 12 writes
    When the other writer stops
    And the store's clock advances by 1 s
    Then the store holds ready

  Scenario: A report of a revision that the store never had hides no later change
    # Guards against a publisher that ignores all changes after one wrong report.
    Given an empty store and a publisher
    When it publishes ready
    And it is told of a change at revision 9223372036854775808
    And the store's clock advances by 15 s
    And another writer replaces its object
    And the publisher checks its object
    Then the store holds ready

  Scenario: An object of another writer in place of a withdrawn one is deleted
    Given an empty store and a publisher
    When it publishes ready
    And it publishes nothing
    And another writer adds its object and it is told
    And the store's clock advances by 1 s
    Then the store holds nothing
