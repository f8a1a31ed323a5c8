Feature: Load patterns run on emulated engines

  Scenario Outline: An emulated engine takes the time given by its configured speeds
    Given an emulated engine that serves <others> other answers
    When a prompt of <tokens> tokens is prefilled by <engines> engines
    Then its first event comes after <first> s, and its gaps are at most <gap> s

    Examples:
      | others | tokens | engines | first | gap  |
      | 0      | 5000   | 1       | 0.038 | 0.05 |
      | 0      | 182000 | 1       | 3.98  | 0.06 |
      | 0      | 182000 | 4       | 1.00  | 0.06 |
      | 4      | 5000   | 1       | 0.081 | 0.05 |

  Scenario Outline: A request is queued until a slot and memory are free
    Given an emulated engine that serves <others> other answers
    And each of them uses <memory> tokens of memory
    When a prompt of 5000 tokens is prefilled by 1 engines
    Then its first event comes after the others' <end>

    Examples:
      | others | memory | end        |
      | 8      | 5000   | last event |
      | 4      | 101000 | last event |

  Scenario: The memory and slots of cancelled requests are freed
    Given an emulated engine that serves 4 other answers
    When all their callers disconnect
    Then the engine holds no memory and no request

  Scenario Outline: Placement beats the baselines when the mix of lengths changes
    When the pattern "turnover" runs on <engines> engines with <seeds> seeds
    Then "product" has a higher value share than each baseline, at least <share>
    And the value share of its worst windows is at least 0.6
    And of its short prompts at most 1 in 50 is late only because of a gap
    And of its long prompts at least 7 in 10 are in time

    Examples:
      | engines | seeds | share |
      | 16      | 4     | 0.85  |
      | 23      | 4     | 0.85  |

  Scenario: Many nodes with stale load updates do not overload the same engines
    When the pattern "turnover" runs on 40 engines by 48 nodes at 0.8 of its rates
    Then "product" has a value share of at least 0.85

  Scenario Outline: A large fleet serves as large a share as a small one
    When the pattern "turnover" runs on <engines> engines by <nodes> nodes in <zones> zones, with <shares> of the requests
    Then "product" has a value share of at least <share>

    Examples:
      | engines | nodes | zones | shares        | share |
      | 54      | 64    | 3     | equal parts   | 0.93  |
      | 54      | 64    | 3     | 2, 1, 1 parts | 0.85  |

  Scenario: Nearly all of a steady load is served
    When the pattern "steady" runs on 16 engines with 3 seeds
    Then "product" has a higher value share than each baseline, at least 0.95

  Scenario: The same seed gives the same run
    When the pattern "longs" runs twice on 8 engines with one seed
    Then both runs are the same
