Feature: Messages and packets that no correct node sends

  Guards against a malformed or unexpected message that raises an error in a node: it
  would end the handling of the messages that came with it.

  Scenario Outline: Random and damaged messages cost one message each
    When a balancer and an agent get 3000 random events drawn with seed <seed>
    Then no handler raised an error
    And both still open a flow

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A planted fault is found
    # Shows that the events reach the handlers.
    When an agent whose reports fail gets 3000 random events drawn with seed 1
    Then a handler raised an error
