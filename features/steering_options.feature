Feature: Options of the steering parts

  Parts of the decisions under load are switched on by a file that all nodes of a
  deployment share. A wrong option must not start with another meaning.

  Scenario Outline: A wrong option is refused with its value and what is allowed
    # Guards against a node that starts with a part off, or with a limit that nobody set.
    When options are read from <text>
    Then they are refused: <error>

    Examples:
      | text                             | error                                                                             |
      | {"pace": {"max_slots": -1}}      | option 'pace.max_slots' is -1; allowed: an integer from 0 to 65535                |
      | {"pace": {"max_slots": 1.5}}     | option 'pace.max_slots' is 1.5; allowed: an integer from 0 to 65535               |
      | {"pace": {"max_slots": true}}    | option 'pace.max_slots' is True; allowed: an integer from 0 to 65535              |
      | {"server_faults": {"failure_share": 1.5}} | option 'server_faults.failure_share' is 1.5; allowed: a number from 0.05 to 0.95 |
      | {"pace": {"slots": 1}}           | option 'pace.slots' is unknown; allowed: max_slots, response_s, max_per_slot      |
      | {"speed": {}}                    | option 'speed' is unknown; allowed: request_gate, pace, server_faults             |
      | {"pace": 1}                      | pace is 1; allowed: an object of max_slots, response_s, max_per_slot              |

  Scenario: The options that are deployed are valid
    # Guards against nodes that do not start, and against a check that knows other options.
    When the deployed options are checked by the command line
    Then it reports that the options of steering have no errors

  Scenario: The command line names a wrong option
    When options with a negative limit are checked by the command line
    Then it reports option pace.max_slots, its value -1 and what is allowed
