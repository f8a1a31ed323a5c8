Feature: Fair queueing, limits, deadlines and retries

  @fuzz
  Scenario: The fair queue agrees with a dictionary oracle
    Then random pushes, pops and cancels match a dictionary oracle of fair queueing

  Scenario Outline: Accounts with work in line get their weighted shares
    Given accounts in line with weights and backlogs <accounts>
    When <tokens> tokens are dispatched in <order> order
    Then the shares of served tokens by weight have a Jain index of <least> to <most>

    Examples: An arrival order lets the heavy account crowd out the others
      | accounts                  | tokens | order   | least | most |
      | a:1:900 b:1:900 c:1:900   | 400    | fair    | 0.98  | 1.0  |
      | a:1:9000 b:1:400 c:1:400  | 900    | fair    | 0.98  | 1.0  |
      | a:4:9000 b:2:900 c:1:900  | 700    | fair    | 0.98  | 1.0  |
      | a:1:9000 b:1:400 c:1:400  | 900    | arrival | 0.0   | 0.6  |

  Scenario Outline: A burst below its share goes before a backlog, up to a credit
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

  Scenario Outline: A share follows demand and never rises without contact
    Given 3 nodes that have exchanged demands of <before> of the limit
    When node 0 wants <wants> of the limit and <contact>
    Then node 0 has <least> to <most> of the limit
    And the nodes together have at most the whole

    Examples:
      | before  | wants | contact             | least | most |
      | 1 1 1   | 1.0   | all keep in contact | 0.33  | 0.34 |
      | 0 0 0   | 1.0   | all keep in contact | 0.79  | 0.81 |
      | 0 0 0   | 1.0   | node 0 is cut off   | 0.33  | 0.34 |
      | 1 0 0   | 1.0   | node 0 is cut off   | 0.79  | 0.81 |
      | 0 1 1   | 1.0   | node 0 is cut off   | 0.05  | 0.06 |
      | 1 0 0   | 1.0   | node 0 is replaced  | 0.05  | 0.06 |

  Scenario Outline: A request over the limit is told when to come back
    Given an account limited to 1000 tokens per second saved up for 10 s
    When it asks for <first> tokens, and <second> tokens <after> s later
    Then the second is told to wait <wait> s

    Examples:
      | first | second | after | wait |
      | 1000  | 1000   | 0     | 0    |
      | 10000 | 1000   | 0     | 1    |
      | 10000 | 1000   | 1     | 0    |
      | 40000 | 1000   | 0     | 31   |
      | 40000 | 1000   | 31    | 0    |
      | 10000 | 40000  | 0     | 10   |

  Scenario: Retries stay a small share of successes
    Then random outages never see retries above 10 and a tenth of successes

  Scenario Outline: Admission under load
    Given a node before 2 upstreams of 1000 tokens per second and a queue of 6
    When <arrivals> arrive
    Then <served> are granted at once and <refused> refused as not run with Retry-After
    And nothing is left once all have ended

    Examples:
      | arrivals                             | served | refused |
      | 1 request of 500 tokens              | 1      | 0       |
      | 4 requests of 500 tokens             | 2      | 0       |
      | 9 requests of 500 tokens             | 2      | 1       |
      | 1 request of 500 tokens bound 0.1 s  | 0      | 1       |
      | 6 requests of 500 tokens bound 1 s   | 2      | 2       |

  Scenario: The state dump shows what is in line, by service, lane and account
    Then 4 requests of account a and 2 of account b in line are shown as such

  Scenario: A full queue sheds the account with the most in line
    Given a node before 2 upstreams of 1000 tokens per second and a queue of 6
    When account a fills the queue and account b then sends 2 requests
    Then 2 requests of a and none of b are refused

  Scenario Outline: A request in line is refused when its bound becomes out of reach
    Given a node before 2 upstreams of 1000 tokens per second and a queue of 6
    When 4 requests of 500 tokens bound 30 s arrive and nothing ends for <time> s
    Then <refused> of those in line are refused as not run with Retry-After

    Examples:
      | time | refused |
      | 1    | 0       |
      | 31   | 2       |

  Scenario: A service that leaves the configuration refuses what is in line
    Given a node before 2 upstreams of 1000 tokens per second and a queue of 6
    When 4 requests of 500 tokens arrive and the service leaves the configuration
    Then 2 of those in line are refused as not run with Retry-After

  Scenario Outline: What answers take is learned without refusing for ever
    Given answers of <tokens> tokens that took <took> s after their prompts
    When <idle> s pass without another
    Then an answer of 100 tokens is expected to take <least> to <most> s

    Examples:
      | tokens | took  | idle | least | most |
      | 100    | 3     | 0    | 3.0   | 3.2  |
      | 10     | 0.3   | 0    | 3.0   | 3.2  |
      | 100    | 3     | 600  | 0.1   | 0.2  |
      | 1      | 600   | 0    | 0.1   | 21   |
      | 1      | 600   | 600  | 0.1   | 0.2  |

  @fuzz
  Scenario: Tickets under random arrivals, ends and departures
    Then random arrivals, ends and departures leave no ticket, room or queue entry
