Feature: A node uses the upstreams of its cell, or others if none is usable

  Scenario Outline: Which upstreams may take a request
    Given a zone of <cells> cells and 24 engines, this node in cell 0
    When the engines of this cell are <state>
    Then the candidates are those of <owner>

    Examples:
      | cells | state                   | owner           |
      | 1     | all well                | the zone        |
      | 3     | all well                | this cell       |
      | 3     | all leaving             | the other cells |
      | 3     | all unreachable         | the other cells |
      | 3     | all but one unreachable | one engine      |

  Scenario Outline: Every engine is owned by one cell, and the cells own similar numbers
    Then <engines> engines over <cells> cells leave no cell with more than <limit>

    Examples:
      | engines | cells | limit |
      | 24      | 1     | 24    |
      | 420     | 9     | 75    |
      | 4200    | 83    | 80    |

  Scenario: The number of cache event reads per poll is bounded
    Given a zone of 1 cells and 100 engines, this node in cell 0
    When cache events are polled 13 times
    Then no poll read from more than 8 engines, and every engine was read
