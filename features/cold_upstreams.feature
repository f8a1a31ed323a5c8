Feature: Cold upstreams get few requests from all nodes together

  # A zone of 15 engines came back cold, and all nodes turned to it at once.
  Scenario Outline: The nodes of a cell share what a cold upstream takes
    Given <nodes> nodes of a cell with <demand> requests a second each, of whose messages <loss> of 100 are lost
    When an upstream that takes 14 a second, 1.5 times that and 5 more in any second, is cold for 20 s and <fault>
    Then in any second it got at most 26 requests, and in all at least <share> of what it takes

    Examples:
      | nodes | demand | loss | fault                         | share |
      | 1     | 100    | 0    | nothing happens               | 0.9   |
      | 9     | 50     | 0    | nothing happens               | 0.9   |
      | 20    | 50     | 5    | nothing happens               | 0.9   |
      | 39    | 50     | 5    | nothing happens               | 0.9   |
      | 66    | 50     | 5    | nothing happens               | 0.9   |
      | 20    | 1      | 5    | nothing happens               | 0     |
      | 20    | 50     | 5    | a sender is killed each 3 s   | 0.5   |
      | 39    | 50     | 100  | nothing happens               | 0.9   |

  Scenario Outline: For how long an upstream is cold
    Given a node whose configuration lets upstreams be cold for 3 s
    When it learns at times in s: <events>
    Then the upstream is cold for <left> s at 10 s

    Examples:
      | events                                  | left |
      | 9: cold 0                               | 0    |
      | 9: cold 3                               | 2    |
      | 9: cold 3, 9.5: cold 0                  | 2    |
      | 9: cold 3, 9.5: cold 2                  | 2    |
      | 9: cold 3, 9.5: cold 2.9                | 2.4  |
      | 5: cold 3                               | 0    |
      | 9: cold 3, 9.5: started again           | 0    |
      | 1: cold 0, 2: evacuated, 9: taken back  | 2    |
      | 1: cold 0, 2: evacuated                 | 0    |
      | 1: cold 0, 2: evacuated, 5: taken back  | 0    |
