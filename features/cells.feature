Feature: A node serves with its cell's upstreams, and with others when it has none

  Scenario Outline: Which upstreams may take a request
    Given a zone of <cells> cells and 24 engines, this node in cell 0
    When the engines of this cell are <state>
    Then the candidates are those of <whose>

    Examples:
      | cells | state                      | whose           |
      | 1     | all well                   | the zone        |
      | 3     | all well                   | this cell       |
      | 3     | all leaving                | the other cells |
      | 3     | all unreachable            | the other cells |
      | 3     | unreachable but for one    | the one         |

  Scenario Outline: Every engine belongs to one cell, and the cells share them fairly
    Then <engines> engines over <cells> cells leave no cell more than <most>

    Examples:
      | engines | cells | most |
      | 24      | 1     | 24   |
      | 420     | 9     | 75   |
      | 4200    | 83    | 80   |

  Scenario: Reading cache events costs the same for any number of engines
    Given a zone of 1 cells and 100 engines, this node in cell 0
    When cache events are read 13 times
    Then no reading asked more than 8 engines, and every engine was asked
