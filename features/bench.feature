Feature: Benchmarks and the pages generated from their data

  Guards against published figures that no run produced, and against wrong slopes.

  Scenario: A fit gives the slope and its standard error
    When a line of slope 3 from 5 is fitted, exactly and with alternating errors of 1
    Then both fits have slope 3 within their errors, and only the second error is non-zero

  Scenario: A slope that is not significantly different from 0 is not extrapolated
    When costs that alternate around 7 are fitted
    Then the fit predicts 7 at a size of 1000000

  Scenario: The committed pages match the committed data
    When the pages are rendered from docs/capacity
    Then docs/CAPACITY.md and docs/spread.md equal the rendered pages

  Scenario: A scaling limit is found where its condition stops holding
    When a limit of 2.5 times the planned size is searched
    Then it is found within 0.001, and a condition that always holds has no limit

  Scenario: Every command prints its help
    When the help of each measurement is requested
    Then each is printed without an error
