Feature: A second attempt beside a slow one cuts the slowest answers within a limit

  Scenario Outline: Which requests are hedged
    Given a short repeatable request that takes longer than its predicted 0.1 s
    And <change>
    Then the decision is <decision>

    Examples: another upstream has room, and the budgets allow one more attempt
      | change                                             | decision       |
      | nothing else                                       | sent           |
      | it may not run on another upstream                 | not_repeatable |
      | its prefill delays other answers                   | long           |
      | upstreams of its service are limited               | pressure       |
      | the other upstream serves 3 of 8 requests          | sent           |
      | the other upstream serves 6 of 8 requests          | pressure       |
      | the other upstream is ready after 0.1 s            | sent           |
      | the other upstream is ready after 0.11 s           | slower         |
      | there is no other upstream                         | no_alternative |
      | the retry budget is spent                          | retry_budget   |
      | the hedge budget is spent                          | hedge_budget   |

  Scenario Outline: A request is hedged when it takes longer than usual
    Given hedging of <share> of the requests
    When answers are <delays> ms later than predicted
    Then a request with a predicted time of <predicted> ms is hedged after <due>

    Examples: delays are first, last and step; 1.1 times the tail, 3 times the median
      | share | delays      | predicted | due     |
      | 0     | 1 100 1     | 0         | never   |
      | 0.05  | 1 19 1      | 0         | never   |
      | 0.05  | 1 20 1      | 100       | 131 ms  |
      | 0.05  | 1 100 1     | 0         | 105 ms  |
      | 0.1   | 1 100 1     | 0         | 99 ms   |
      | 0.1   | 1 100 1     | 200       | 319 ms  |
      | 0.05  | 1 300 1     | 0         | 319 ms  |
      | 0.05  | 1 1000 10   | 0         | 1046 ms |
      | 0.05  | 10 2000 100 | 0         | 2101 ms |
      | 0.05  | -100 -1 1   | 50        | 20 ms   |
      | 0.05  | -100 -1 1   | 200       | 213 ms  |

  # Equal parts of a rate allow no hedge in a short time, so each node saves them up.
  Scenario Outline: The hedges of all nodes stay within the limit
    Given hedging of 0.05 of the requests, and of <rate> a second of all <nodes> nodes
    When each node gets <demand> requests a second for 300 s, and wants to hedge <wanted> of them, and <fault>
    Then all hedges are within the share and the rate, but for two of each node
    And they are at least <least> of what both allow

    Examples:
      | nodes | demand | rate | wanted | fault                           | least |
      | 1     | 20     | 5    | 1.0    | nothing happens                 | 0.9   |
      | 9     | 4      | 1    | 1.0    | nothing happens                 | 0.9   |
      | 61    | 0.6    | 5    | 1.0    | nothing happens                 | 0.6   |
      | 61    | 0.6    | 0.5  | 1.0    | nothing happens                 | 0.6   |
      | 195   | 0.6    | 5    | 0.1    | nothing happens                 | 0     |
      | 61    | 0.6    | 5    | 1.0    | half of the nodes are cut off   | 0.6   |
      | 61    | 0.6    | 5    | 1.0    | nodes are restarted each 20 s   | 0     |

  # Without hedging the slow upstream decides the 99th percentile.
  Scenario Outline: Some upstreams are slow
    Given a node before ten upstreams that answer within 0.05 s
    And <slow> of them answer within <delay> s instead
    When <rate> requests a second are sent for 120 s, of which <share> may be hedged
    Then of 100 requests, <percentile> are answered within <within> s
    And at most <share> of the requests are hedged, and at least <least>

    Examples: one slow upstream in ten; a zone of three that is slow
      | slow | delay | rate | share | percentile | within | least |
      | 1    | 0.9   | 20   | 0     | 90         | 0.051  | 0     |
      | 1    | 0.9   | 20   | 0.1   | 98         | 0.25   | 0.01  |
      | 3    | 0.9   | 20   | 0.1   | 75         | 0.25   | 0.02  |

  Scenario: While upstreams are full, nothing is hedged
    Given a node before ten upstreams that answer within 0.05 s
    And 10 of them answer within 1.5 s instead
    When 48 requests a second are sent for 60 s, of which 0.1 may be hedged
    Then at most 0 of the requests are hedged, and at least 0
