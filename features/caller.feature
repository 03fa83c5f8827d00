Feature: Callers' HTTP calls

  Guards against calls that are translated incorrectly between HTTP, the dispatcher, the
  agent's TCP protocol and the backend server. All components run on loopback.

  Background:
    Given a balancer, an agent and a backend server on loopback

  Scenario Outline: <calls> give <statuses>
    When a caller makes <calls>
    Then the statuses are <statuses>
    And the last outcome is "<outcome>" with reason "<reason>"
    And the backend server ran <runs> requests, each once

    Examples:
      | calls                      | statuses           | outcome | reason          | runs |
      | POST body                  | 200                |         |                 | 1    |
      | POST                       | 201                |         |                 | 0    |
      | POST, PUT, PUT, GET        | 201, 200, 200, 200 |         |                 | 1    |
      | POST body, GET             | 200, 200           |         |                 | 1    |
      | POST, GET                  | 201, 404           | unknown | not_started     | 0    |
      | POST, DELETE, PUT          | 201, 200, 409      | not_run | cancelled       | 0    |
      | POST, PUT, DELETE          | 201, 200, 409      | unknown | done            | 1    |
      | POST, PUT, PUT other       | 201, 200, 409      | unknown | body_mismatch   | 1    |
      | POST, PUT forged           | 201, 502           | unknown | forged          | 0    |
      | PUT malformed              | 404                | unknown | malformed       | 0    |
      | POST, PUT, PUT large       | 201, 200, 413      | unknown | too_large       | 1    |
      | POST, UPGRADE, PUT         | 201, 200           |         |                 | 1    |
      | POST, PUT, UPGRADE, PUT    | 201, 200, 200      |         |                 | 1    |
      | POST large                 | 413                | not_run | too_large       | 0    |
      | POST chunked               | 200                |         |                 | 1    |
      | POST large chunked         | 413                | not_run | too_large       | 0    |
      | POST unknown_service       | 404                | not_run | unknown_service | 0    |
      | POST short_deadline        | 504                | unknown | deadline        | 1    |
      | DRAIN, POST body           | 503                | not_run | draining        | 0    |
      | SHED, POST body            | 503                | not_run | shed            | 0    |
      | BACKEND DOWN, POST body    | 503                | not_run | backend_unreachable | 0 |
      | AGENT DOWN, POST body      | 503                | not_run | connection_lost | 0    |

  Scenario: An availability zone out of service has no connections
    Guards against packets into an availability zone that was taken out of service.
    When a caller makes POST, ZONE OUT, PUT
    Then the statuses are 201, 502
    And the last outcome is "unknown" with reason "zone_out"
    And the agent has no open connection

  Scenario: Each response belongs to its request
    Guards against responses that are swapped between concurrent calls.
    When 8 callers make 25 calls each concurrently
    Then each response contains its caller's body and a matching digest

  Scenario: A caller that disconnects cancels its request
    Guards against work done for callers that no longer wait.
    When a caller closes its connection while its request runs
    Then the backend server cancels the request

  Scenario: A stop completes the calls in progress
    Guards against a planned stop that interrupts a request.
    When the balancer stops while a request runs
    Then the running request receives its response and a new call is refused
