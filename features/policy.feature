Feature: Comparison of placement policies

  Guards against a comparison that runs the same modules for every policy, or that
  counts nothing.

  Scenario: Policies give different results
    When the trace "table-edits-mia-duong" is measured with 1 seed for every policy
    Then "bramleystair" breaks 0 flows and "plain hash" breaks some
    And the data file holds a row for each of 4 policies
    And a second run with the same seed gives the same rows
