Feature: Servers that send bytes without end harm no request and no node

  # A node may have as little as 200 MB of memory.
  Scenario Outline: The answer of a worker has no end
    Given a node on the platform with two workers for each service
    When other requests are sent while an answer has endless <part>
    Then GET /read/ ends with <read>, POST /order/ with <order>, POST /stream/ with <stream> and POST /stream/once/ with <once>
    And each of them ends within 1 s
    And other requests are answered within 0.5 s
    And the node has used at most 200 MB
    And all endless answers are closed within 0.5 s

    Examples: Heads
      | part          | read  | order | stream | once |
      | status line   | whole | 502   | whole  | 502  |
      | header line   | whole | 502   | whole  | 502  |
      | header lines  | whole | 502   | whole  | 502  |
      | 100 heads     | whole | 502   | whole  | 502  |
      | 103 heads     | whole | 502   | whole  | 502  |
      | upgrade       | whole | 502   | whole  | 502  |

    Examples: Framing
      | part            | read  | order | stream | once |
      | chunk size      | whole | 502   | whole  | 502  |
      | chunk extension | whole | 502   | whole  | 502  |
      | extended chunks | whole | 502   | whole  | 502  |
      | trailer line    | whole | 502   | whole  | 502  |
      | trailer lines   | whole | 502   | whole  | 502  |

    Examples: Bodies
      | part     | read  | order | stream | once  |
      | body     | whole | 502   | whole  | 502   |
      | chunks   | whole | 502   | whole  | 502   |
      | 500 body | whole | 502   | whole  | 502   |
      | 503 body | whole | whole | whole  | whole |
      | 421 body | whole | whole | whole  | whole |

  Scenario Outline: The events of a stream have no end
    Given a node on the platform with two workers for each service
    When other requests are sent while an answer has endless <part>
    Then POST /stream/ ends with resumed and POST /stream/once/ with broken
    And each stream ends within 1 s
    And other requests are answered within 0.5 s
    And the node has used at most 200 MB
    And all endless answers are closed within 0.5 s

    Examples:
      | part               |
      | comments           |
      | events without id  |
      | events with one id |

  Scenario: Bytes after a complete answer have no end
    Given a node on the platform with two workers for each service
    When other requests are sent while an answer has endless rest
    Then GET /read/ ends with whole, POST /order/ with whole, POST /stream/ with whole and POST /stream/once/ with 502
    And each of them ends within 1 s
    And other requests are answered within 0.5 s
    And the node has used at most 200 MB
    And all endless answers are closed within 0.5 s

  # A request that must not run again is not ended because its worker is slow.
  Scenario Outline: The answer of a worker has no end and arrives byte by byte
    Given a node on the platform with two workers for each service
    When other requests are sent while an answer has endless trickled <part>
    Then GET /read/ ends with whole, POST /order/ with 504, POST /stream/ with <stream> and POST /stream/once/ with <once>
    And each of them ends within 2.8 s
    And other requests are answered within 0.5 s
    And the node has used at most 200 MB
    And all endless answers are closed within 0.5 s

    Examples:
      | part              | stream  | once   |
      | status line       | whole   | 504    |
      | header lines      | whole   | 504    |
      | 103 heads         | whole   | 504    |
      | chunk extension   | whole   | 504    |
      | trailer lines     | whole   | 504    |
      | chunks            | whole   | 504    |
      | body              | whole   | 504    |
      | comments          | resumed | broken |
      | events without id | resumed | broken |

  # The requests' deadline is after 2.5 s. Events cost more than other bytes; there are
  # as many streams of them as the workers have slots.
  Scenario Outline: Endless answers to many requests at once
    Given a node on the platform with two workers for each service
    When <count> clients send <method> <target>, and all answers of <service> have endless <part>
    Then each of them ends with <answer> within 3 s
    And other requests are answered within 1 s
    And the node has used at most 200 MB
    And all endless answers are closed within 0.5 s

    Examples:
      | count | method | target        | service | part      | answer                 |
      | 40    | POST   | /order/       | desk    | 103 heads | 502                    |
      | 40    | GET    | /read/        | desk    | body      | 502 or 503             |
      | 40    | POST   | /order/       | desk    | body      | 502 or 503             |
      | 40    | POST   | /order/       | desk    | chunks    | 502 or 503             |
      | 40    | POST   | /stream/once/ | models  | body      | 502 or 503             |
      | 16    | POST   | /stream/once/ | models  | comments  | broken or 503          |
      | 16    | POST   | /stream/once/ | models  | events    | flood or broken or 503 |

  # A long poll whose answer trickles ends with its time limit, as if it were silent.
  Scenario Outline: Answers of the store have no end
    Given a node on the platform with two workers for each service
    When the answers of the store have endless <part> for 2 s, and requests are sent
    Then other requests are answered within 0.5 s
    And a change of the store is in force within 3 s
    And the node has used at most 200 MB
    And all endless answers are closed within <closed> s

    Examples:
      | part                 | closed |
      | status line          | 0.5    |
      | header lines         | 0.5    |
      | 100 heads            | 0.5    |
      | upgrade              | 0.5    |
      | chunk extension      | 0.5    |
      | trailer lines        | 0.5    |
      | body                 | 0.5    |
      | chunks               | 0.5    |
      | trickled header line | 21     |
      | trickled body        | 21     |

  Scenario Outline: Answers to orders of memory have no end
    Given a node on the platform with four workers for models
    When the answers to orders have endless <part>, and a prompt over one engine's memory is sent
    Then the prompt is refused within 2 s, as not run
    And the node has used at most 200 MB
    And all endless answers are closed within 3 s

    Examples:
      | part          |
      | header lines  |
      | 100 heads     |
      | body          |
      | chunks        |
      | trickled body |
