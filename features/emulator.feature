Feature: Load patterns replayed on emulated engines

  Scenario Outline: An emulated engine takes the time that its speeds give
    Given an emulated engine that serves <others> other answers
    When a prompt of <tokens> tokens is read by <engines> engines
    Then its first event comes after <first> s, and its pauses are at most <pause> s

    Examples:
      | others | tokens | engines | first | pause |
      | 0      | 5000   | 1       | 0.038 | 0.05  |
      | 0      | 182000 | 1       | 3.98  | 0.06  |
      | 0      | 182000 | 4       | 1.00  | 0.06  |
      | 4      | 5000   | 1       | 0.081 | 0.05  |

  Scenario Outline: A request waits for a slot and for memory
    Given an emulated engine that serves <others> other answers
    And each of them takes <memory> tokens of memory
    When a prompt of 5000 tokens is read by 1 engines
    Then its first event comes after the others' <end>

    Examples:
      | others | memory | end        |
      | 8      | 5000   | last event |
      | 4      | 101000 | last event |

  Scenario: What a caller who leaves has taken is free again
    Given an emulated engine that serves 4 other answers
    When all their callers leave
    Then the engine holds no memory and no request

  Scenario Outline: Placement earns more than the baselines when the mix turns over
    When the pattern "turnover" is played on <engines> engines with <seeds> seeds
    Then "product" earns more than each baseline, and at least <share> of the worth
    And its worst windows earn at least 0.6
    And of its short prompts at most 1 in 50 is late for a pause only
    And of its long prompts at least 7 in 10 are in time

    Examples:
      | engines | seeds | share |
      | 16      | 4     | 0.85  |
      | 23      | 4     | 0.85  |

  Scenario: Many nodes with old news do not crowd the same engines
    When the pattern "turnover" is played on 40 engines by 48 nodes at 0.8 of its rates
    Then "product" earns at least 0.85 of the worth

  Scenario: A steady load is served nearly whole
    When the pattern "steady" is played on 16 engines with 3 seeds
    Then "product" earns more than each baseline, and at least 0.95 of the worth

  Scenario: The same seed gives the same run
    When the pattern "longs" is played twice on 8 engines with one seed
    Then both runs are the same
