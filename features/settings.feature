Feature: Settings

  Guards against a daemon that starts with a misspelt option or with a value of the wrong
  type or out of range, and against errors that are reported one at a time.

  Scenario: Omitted options have their defaults
    When the balancer's settings are read from
      """
      {
        // Comments and trailing commas are allowed.
        node: "balancer-1", zone: "zone-1", region: "region-1",
      }
      """
    Then option "message_port" is 7946
    And option "fabric.port" is 6081

  Scenario: All errors of a file are reported at once
    When the balancer's settings are read from
      """
      {
        node: "balancer-1", zone: 3, prot: 1,
        http_port: 70000, metrics_port: true,
        host: "localhost",
        seeds: [{name: "balancer-2", host: "10.0.0.2", port: 0}],
        fabric: {network_id: NaN, mtu: 1500},
        versions: [], caller: {stop_timeout_s: "30", threads: -1, tick_s: NaN},
      }
      """
    Then these options are refused
      | option            | value       | allowed                     |
      | zone              | 3           | a string                    |
      | region            | missing     | a string                    |
      | prot              | 1           | known options: caller       |
      | http_port         | 70000       | at least 1, at most 65535   |
      | metrics_port      | True        | an integer                  |
      | caller.stop_timeout_s | '30'    | a number                    |
      | caller.threads    | -1          | an integer, at least 0      |
      | caller.tick_s     | nan         | a number, at least 0        |
      | host              | 'localhost' | a numeric IP address        |
      | seeds[0].port     | 0           | at least 1                  |
      | fabric.network_id | nan         | an integer                  |
      | fabric.mtu        | 1500        | known options: network_id   |
      | versions          | []          | an object                   |
    And each error names the file

  Scenario Outline: Files that do not contain settings are refused
    When the balancer's settings are read from a file with <content>
    Then one error without an option is reported

    Examples:
      | content             |
      | no bytes            |
      | an unclosed object  |
      | invalid UTF-8       |
      | deep nesting        |
      | no file             |

  Scenario: The generated page of options is up to date
    Then docs/settings.md equals the page generated from the schemas
