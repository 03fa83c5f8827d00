Feature: CSV files of tables

  Guards against a table that is read differently from how it was written, and against
  invalid cells that reach the platform.

  Scenario: Generated tables are read unchanged in every variant of the format
    When 200 generated tables are written with byte order marks, semicolons, CRLF, reordered columns and blank lines
    Then each is read back unchanged

  Scenario: Invalid cells are reported
    When 300 generated tables have one cell replaced by an invalid value
    Then each error names the file, line, column and value, and what is allowed

  Scenario Outline: Errors of the whole file or of a line
    When the table file "<content>" is read
    Then the error on line <line> says "<allowed>"

    Examples:
      | content                                                                       | line | allowed                             |
      |                                                                               | 1    | a header and rows                   |
      | server,zone,weight,max_flows,max_requests                                     | 1    | at least one row                    |
      | server,zone,weight                                                            | 1    | the header                          |
      | server,zone,weight,max_flows,max_requests\na,z1,1,1                           | 2    | 5 cells                             |
      | server,zone,weight,max_flows,max_requests\na,z1,1,1,1\na,z1,2,1,1             | 3    | each backend server once            |
      | server,zone,weight,max_flows,max_requests\na,z1,1,1,1\n\nb,z9,1,1,1           | 4    | one of z1, z2                       |
      | \xff                                                                          | 1    | UTF-8 text                          |

  Scenario: Random bytes are never accepted
    When 2000 random byte strings are read as tables
    Then each is refused with errors
