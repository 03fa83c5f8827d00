Feature: Limits on the objects that a node keeps, without a network

  The classes of a kind limit which objects a node keeps, in which form and memory.
  Objects that the node needs are kept, whatever else is in the store.

  Scenario Outline: A document in pieces is read like one in memory
    # Guards against parts that are lost or changed at the end of a piece.
    Given generated documents with lists of objects
    When each is read in pieces of <size> bytes
    Then each object has the name, revision and content of the document

    Examples:
      | size |
      | 1    |
      | 7    |
      | 4096 |

  Scenario Outline: The time to pass over a value grows with its length only
    # Guards against content whose end takes quadratic time to find.
    Given a list with an object that contains <shape>
    When it is read with 64 KB and with 1 MB of that content
    Then the time for each byte is at most 8 times as long with 1 MB
    And the objects beside it are read

    Examples:
      | shape                |
      | empty objects        |
      | nested arrays        |
      | escaped quotes       |
      | escaped backslashes  |
      | empty strings        |
      | nested objects       |
      | an unclosed string   |

  Scenario: Odd content costs no other object
    Given a list of entries with these contents in the middle
      | content                       |
      | {"a": "\u00"}                 |
      | NaN                           |
      | {"a": [1 2]}                  |
    When the list is longer than a short response
    Then all other entries are kept

  Scenario Outline: Sound entries are kept whatever their number up to the planned size
    # Guards against limits that leave out a member of a deployment of the planned size.
    Given the classes of a balancer with <memory> MB of memory
    When a store with 9100 entries, their rosters and <odd> odd entries is listed
    Then all 9100 entries and all rosters are kept
    And at most 1024 odd entries are kept

    Examples:
      | memory | odd   |
      | 256    | 0     |
      | 256    | 20000 |
      | 300    | 20000 |

  Scenario Outline: Settings without a memory limit use that of the design
    # Guards against a node that keeps no object.
    When settings with the memory limit <limit> are read
    Then the memory is <memory> MB

    Examples:
      | limit | memory |
      | 300   | 300    |
      | 0     | 256    |
      | null  | 256    |

  Scenario: Known members are kept when entries that look sound exceed the limit
    # Guards against a writer that displaces the members of a balancer.
    Given a mirror of 200 members with memory for 400
    When another writer adds 2000 entries that sort before them
    Then the mirror still holds the 200 members
    And it holds at most 400 objects
    When the other writer deletes its entries and 50 members join
    And the store's clock advances by 15 s
    Then all 250 members are in the copy

  Scenario: A page without an object that is kept does not end a listing
    # Guards against a node that never completes its copy.
    Given a store whose first 3 pages hold no object that is kept
    When a mirror lists it while an object of the first page changes
    Then the mirror is complete with the last member
    And its watch starts at the revision of the first page

  Scenario: Ignored objects are counted, and logged at a limited rate
    Given a mirror whose store has 500 changes a second of objects that are not kept
    When the store's clock advances by 30 s
    Then 15000 ignored objects are counted
    And at most 5 lines are logged

  Scenario: Long responses take a limited share of the time
    Given a time budget with a share of 0.25 and a burst of 1.0 s
    When 8.0 s of work are done in pieces of 0.01 s
    Then it took between 28 and 33 s

  Scenario: A reply that finds no room is postponed
    # Guards against many peers that are each sent a copy at once.
    Given an event loop
    And an HTTP server whose reply has 10000000 bytes
    When 6 peers ask for it and do not read
    Then the server holds at most 26000000 bytes of replies
    And some peers are told to ask again
