Feature: Comparison of placement policies

  Guards against a comparison that measures the same modules under every name, or that
  counts nothing.

  Scenario: Policies differ as they must
    When the trace "table-edits-mia-duong" is measured with 1 seed for every policy
    Then "bramleystair" breaks 0 flows and "plain hash" breaks some
    And the data file holds a row for each of 4 policies
    And the same seed gives the same row again
