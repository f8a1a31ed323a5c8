Feature: Load patterns replayed on emulated engines

  Scenario Outline: Times of an emulated engine follow from its rates
    Given an emulated engine that serves <others> other answers
    When a prompt of <tokens> tokens is prefilled by <engines> engines
    Then its first event comes after <first> s, and its gaps are at most <gap> s

    Examples:
      | others | tokens | engines | first | gap  |
      | 0      | 5000   | 1       | 0.038 | 0.05 |
      | 0      | 182000 | 1       | 3.98  | 0.06 |
      | 0      | 182000 | 4       | 1.00  | 0.06 |
      | 4      | 5000   | 1       | 0.081 | 0.05 |

  Scenario Outline: A request waits for a slot and for memory
    Given an emulated engine that serves <others> other answers
    And each of them takes <memory> tokens of memory
    When a prompt of 5000 tokens is prefilled by 1 engines
    Then its first event comes after the others' <end>

    Examples:
      | others | memory | end        |
      | 8      | 5000   | last event |
      | 4      | 101000 | last event |

  Scenario: The slot and memory of a caller that disconnects are freed
    Given an emulated engine that serves 4 other answers
    When all their callers disconnect
    Then the engine holds no memory and no request

  Scenario Outline: Placement earns more than the baselines when the mix of prompts changes
    When the pattern "turnover" is played on <engines> engines with <seeds> seeds
    Then "product" earns more than each baseline, and at least <share> of the worth
    And its worst windows earn at least 0.6
    And of its short prompts at most 1 in 50 is late only because of a gap
    And of its long prompts at least 7 in 10 are in time

    Examples:
      | engines | seeds | share |
      | 16      | 4     | 0.85  |
      | 23      | 4     | 0.85  |

  Scenario: Many nodes with stale load counts do not overload the same engines
    When the pattern "turnover" is played on 40 engines by 48 nodes at 0.8 of its rates
    Then "product" earns at least 0.85 of the worth

  Scenario: A steady load is served almost completely
    When the pattern "steady" is played on 16 engines with 3 seeds
    Then "product" earns more than each baseline, and at least 0.95 of the worth

  Scenario: The same seed gives the same run
    When the pattern "longs" is played twice on 8 engines with one seed
    Then both runs are the same
