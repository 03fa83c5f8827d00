Feature: Placement of new flows by load reports

  Scenario Outline: Homes with the same outdated reports do not overload one member
    Guards against all homes choosing the member with the lowest last report.
    When <flows> flows arrive at <members> homes within <seconds> s, with reports each <period> s
    Then each member's share is within 10 % of the table's in all of 20 runs

    Examples:
      | flows | members | seconds | period |
      | 2000  | 7       | 3.0     | 1.0    |
      | 2000  | 7       | 20.0    | 3.0    |
      | 1200  | 3       | 6.0     | 1.0    |

  Scenario Outline: Members that report wrong loads still get their shares
    # Guards against a home that relies on a load report that contradicts its redirects.
    When 1500 flows arrive at <members> homes within 30.0 s while one member reports none of its flows and one 3 times as many
    Then each member's share is within 10 % of the table's in all of 20 runs

    Examples:
      | members |
      | 5       |
      | 7       |
