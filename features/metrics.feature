Feature: Metrics report what was served, with bounded labels

  Scenario Outline: A request is counted
    Given a node whose metrics are read
    When a caller of that node gets <what>
    Then <metric> has grown by <amount>

    Examples:
      | what                    | metric                                                       | amount |
      | a whole completion      | lagoonhinge_answers_total{kind="model"}                      | 1      |
      | a whole completion      | lagoonhinge_tokens_total{kind="completion"}                  | 16     |
      | a whole completion      | lagoonhinge_time_to_first_token_seconds_count{length="short"} | 1     |
      | a whole completion      | lagoonhinge_slowdown_count{length="short"}                   | 1      |
      | a whole completion      | lagoonhinge_attempts_total{kind="first"}                     | 1      |
      | a whole completion      | lagoonhinge_queue_seconds_count                              | 1      |
      | an unknown model error  | lagoonhinge_failures_total{code="not_found",outcome="not-run"} | 1    |

  Scenario: No label grows with accounts or upstreams
    Given a node whose metrics are read
    When a caller of that node gets a whole completion
    Then no account and no upstream is named in the metrics
