Feature: Fair queueing, limits, deadlines and retries

  @fuzz
  Scenario: The fair queue agrees with a dictionary oracle
    Then random pushes, pops and cancels match a dictionary oracle of fair queueing

  Scenario Outline: Accounts with queued requests get their weighted shares
    Given accounts with weights and backlogs <accounts>
    When <tokens> tokens are dispatched in <order> order
    Then the shares of served tokens by weight have a Jain index of <least> to <most>

    Examples: In arrival order the heavy account gets most of the tokens
      | accounts                 | tokens | order   | least | most |
      | a:1:900 b:1:900 c:1:900  | 400    | fair    | 0.98  | 1.0  |
      | a:1:9000 b:1:400 c:1:400 | 900    | fair    | 0.98  | 1.0  |
      | a:4:9000 b:2:900 c:1:900 | 700    | fair    | 0.98  | 1.0  |
      | a:1:9000 b:1:400 c:1:400 | 900    | arrival | 0.0   | 0.6  |

  Scenario Outline: A burst below its share precedes a backlog, up to a credit
    Given a queue with a credit of <credit> tokens and a backlog of account a
    When account b sends 4 requests at once
    Then <first> of the next 4 requests are of account b

    Examples:
      | credit | first |
      | 0      | 2     |
      | 20     | 3     |
      | 40     | 4     |

  @fuzz
  Scenario: Shares of a limit never add up to more than the limit
    Then random gossip, loss, restarts and demand keep the sum of shares within 1

  Scenario Outline: A share follows demand and never rises by a loss of contact
    Given 3 nodes that have exchanged demands of <before> of the limit
    When node 0 demands <demand> of the limit and <contact>
    Then node 0 has <least> to <most> of the limit
    And the shares of all nodes add up to at most the limit

    Examples:
      | before | demand | contact                 | least | most |
      | 1 1 1  | 1.0    | all nodes are connected | 0.33  | 0.34 |
      | 0 0 0  | 1.0    | all nodes are connected | 0.79  | 0.81 |
      | 0 0 0  | 1.0    | node 0 is partitioned   | 0.33  | 0.34 |
      | 1 0 0  | 1.0    | node 0 is partitioned   | 0.79  | 0.81 |
      | 0 1 1  | 1.0    | node 0 is partitioned   | 0.05  | 0.06 |
      | 1 0 0  | 1.0    | node 0 is restarted     | 0.05  | 0.06 |

  Scenario Outline: A request over the limit gets a retry delay
    Given an account limited to 1000 tokens per second with a burst of 10 s
    When it requests <first> tokens, and <second> tokens <after> s later
    Then the second request must wait <wait> s

    Examples:
      | first | second | after | wait |
      | 1000  | 1000   | 0     | 0    |
      | 10000 | 1000   | 0     | 1    |
      | 10000 | 1000   | 1     | 0    |
      | 40000 | 1000   | 0     | 31   |
      | 40000 | 1000   | 31    | 0    |
      | 10000 | 40000  | 0     | 10   |

  Scenario: Retries stay a small share of successes
    Then under random outages retries stay within 10 and a tenth of the successes

  Scenario Outline: Admission under load
    Given a node with 2 upstreams of 1000 tokens per second and a queue of 6
    When <arrivals> arrive
    Then <served> are admitted at once and <refused> refused as not run with Retry-After
    And no request is held once all have ended

    Examples:
      | arrivals                             | served | refused |
      | 1 request of 500 tokens              | 1      | 0       |
      | 4 requests of 500 tokens             | 2      | 0       |
      | 9 requests of 500 tokens             | 2      | 1       |
      | 1 request of 500 tokens due in 0.1 s | 0      | 1       |
      | 6 requests of 500 tokens due in 1 s  | 2      | 2       |

  Scenario: The state dump shows queued requests by service, lane and account
    Then the queued ones of 4 requests of account a and 2 of account b are shown

  Scenario: A full queue sheds requests of the account with the most queued tokens
    Given a node with 2 upstreams of 1000 tokens per second and a queue of 6
    When account a fills the queue and account b then sends 2 requests
    Then 2 requests of a and none of b are refused

  Scenario Outline: A queued request is refused once it can't meet its deadline
    Given a node with 2 upstreams of 1000 tokens per second and a queue of 6
    When 4 requests of 500 tokens due in 30 s arrive and none ends for <time> s
    Then <refused> queued requests are refused as not run with Retry-After

    Examples:
      | time | refused |
      | 1    | 0       |
      | 31   | 2       |

  Scenario: A service removed from the configuration refuses its queued requests
    Given a node with 2 upstreams of 1000 tokens per second and a queue of 6
    When 4 requests of 500 tokens arrive and the service is removed
    Then 2 queued requests are refused as not run with Retry-After

  Scenario Outline: Estimated answer times decay, so that refusals end without new answers
    Given answers of <tokens> output tokens that took <took> s after prefill
    When <idle> s pass without another answer
    Then an answer of 100 tokens is expected to take <least> to <most> s

    Examples:
      | tokens | took | idle | least | most |
      | 100    | 3    | 0    | 3.0   | 3.2  |
      | 10     | 0.3  | 0    | 3.0   | 3.2  |
      | 100    | 3    | 600  | 0.1   | 0.2  |
      | 1      | 600  | 0    | 0.1   | 21   |
      | 1      | 600  | 600  | 0.1   | 0.2  |

  @fuzz
  Scenario: Tickets under random arrivals, ends and cancellations
    Then random arrivals, ends and cancellations leave no ticket, count or queue entry
