Feature: Malformed and unexpected messages and packets

  Guards against a malformed or unexpected message that raises an error in a node. The
  error would end the handling of the messages that were received with it.

  Scenario Outline: Random and corrupted messages raise no error
    When a balancer and an agent handle 3000 random events with seed <seed>
    Then no handler raised an error
    And the balancer still opens a flow at the agent

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: An injected fault is detected
    # Guards against a fuzzer whose events do not reach the handlers.
    When an agent whose load reports fail handles 3000 random events with seed 1
    Then a handler raised an error
