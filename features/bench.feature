Feature: Measurements and the pages that are written from them

  Guards against figures on a page that no run produced, and against a wrong slope.

  Scenario: A slope is found with its error
    When a line of slope 3 from 5 is fitted, exactly and with alternating errors of 1
    Then both fits have slope 3 within their errors, and only the second has an error

  Scenario: A slope that cannot be told from 0 is not extrapolated
    When costs that alternate around 7 are fitted
    Then the line gives 7 at a size of 1000000

  Scenario: The pages are what the committed data gives
    When the pages are written from docs/capacity
    Then docs/CAPACITY.md and docs/spread.md are these pages

  Scenario: A limit is where its rule says
    When a limit of 2.5 times the planned size is searched
    Then it is found within 0.001, and a rule that always holds has none

  Scenario: Every command can be called
    When the help of each measurement is asked for
    Then each is printed without an error
