Feature: A process that is busy or held up does not harm requests

  # With 16 fast senders, a request that needs ten loop iterations took over 1 s.
  Scenario Outline: One connection reads in each loop iteration
    Given <senders> connections that always have data
    When <iterations> loop iterations pass, and connection <closed> closes after <after>
    Then at most one connection read in each iteration, in turn, <reads> times in all

    Examples:
      | senders | iterations | closed | after | reads |
      | 1       | 6          | none   | 0     | 6     |
      | 3       | 9          | none   | 0     | 9     |
      | 16      | 40         | none   | 0     | 40    |
      | 3       | 9          | 1      | 4     | 8     |
      | 1       | 6          | 0      | 2     | 2     |

  Scenario Outline: A read takes about the same time whatever is sent
    When a read of <size> bytes took <took> ms
    Then the next one has <next> bytes

    Examples:
      | size  | took | next  |
      | 4096  | 0.1  | 8192  |
      | 262144 | 0.1 | 262144 |
      | 4096  | 0.5  | 4096  |
      | 8192  | 1.5  | 4096  |
      | 4096  | 5    | 4096  |

  # Beside other load, sound upstreams counted as unreachable, and requests were refused.
  Scenario Outline: A connect timeout counts only if the process was not held up
    Given an upstream to which the first <late> connects time out late and <more> in time
    When a request is sent to it
    Then it ends with <result> after <connects> connects

    Examples:
      | late | more | result        | connects |
      | 0    | 0    | an answer     | 1        |
      | 1    | 0    | an answer     | 2        |
      | 3    | 0    | an answer     | 4        |
      | 4    | 0    | not delivered | 4        |
      | 0    | 1    | not delivered | 1        |
      | 1    | 1    | not delivered | 2        |
