Feature: Placement by length

  Scenario Outline: A mixed stream of prompts under each policy
    Given 8 upstreams of 400000 tokens under <policy>
    When 60 short and 6 long prompts are placed in turn, 12 shorts running
    Then <least> to <most> prompt tokens go before the worst placed short prompt
    And <free> or more upstreams carry no long prompt

    Examples: The product keeps upstreams free, the baselines put shorts behind longs
      | policy          | least  | most   | free |
      | length_aware    | 0      | 6000   | 2    |
      | round_robin     | 120000 | 999999 | 0    |
      | least_in_flight | 120000 | 999999 | 0    |

  Scenario Outline: Where one prompt goes
    Given upstreams a, b, c and d whose state is <state>
    When a prompt of <tokens> tokens is placed with <preference> for long ones
    Then it goes to <upstream>

    Examples:
      | state                            | tokens | preference | upstream |
      | idle                             | 2000   | 0.5        | d        |
      | idle                             | 120000 | 0.5        | a        |
      | d has shorts                     | 2000   | 0.5        | a        |
      | a has a long                     | 120000 | 0.5        | b        |
      | a to c have longs                | 120000 | 0.5        | none     |
      | a to c have longs                | 2000   | 0.5        | d        |
      | a to c have longs, d few shorts  | 2000   | 0.0        | a        |
      | a to c have longs, d few shorts  | 2000   | 1.0        | d        |
      | d is full                        | 2000   | 0.5        | a        |
      | all are full                     | 2000   | 0.5        | none     |
      | c caches the prompt              | 2000   | 0.5        | c        |
      | b caches the prompt              | 120000 | 0.5        | b        |
      | d is reserved                    | 120000 | 0.5        | d        |
      | d was tried                      | 2000   | 0.5        | c        |

  Scenario Outline: The split follows demand with hysteresis
    Given a zone of 8 upstreams with <preference> for long prompts
    When long work offers <first> upstreams' worth for 60 s, then <then> for <time> s
    Then long prompts may use <size> upstreams

    Examples:
      | preference | first | then | time | size |
      | 0.0        | 0.5   | 0.5  | 1    | 1    |
      | 1.0        | 0.5   | 0.5  | 1    | 2    |
      | 0.0        | 4.0   | 4.0  | 1    | 5    |
      | 0.0        | 9.0   | 9.0  | 1    | 6    |
      | 0.0        | 0.5   | 4.0  | 1    | 1    |
      | 0.0        | 0.5   | 4.0  | 4    | 5    |
      | 0.0        | 4.0   | 0.5  | 4    | 5    |
      | 0.0        | 4.0   | 0.5  | 20   | 1    |

  Scenario Outline: A long prompt that has waited gains on short ones
    When a prompt of <tokens> tokens has waited <waited> s with <preference> for long
    Then its engine priority is <priority>

    Examples:
      | tokens | waited | preference | priority |
      | 2000   | 0      | 0.5        | 0        |
      | 2000   | 90     | 0.5        | 0        |
      | 120000 | 0      | 0.5        | 10       |
      | 120000 | 12     | 0.0        | 8        |
      | 120000 | 12     | 1.0        | 4        |
      | 120000 | 900    | 0.0        | 0        |

  Scenario Outline: A report corrects the counts only by what it shows beyond them
    Given counts of <before> prompt tokens until 3 s ago and <now> since
    When a report that was made <age> s ago shows <reported> queued tokens
    Then <unexplained> tokens are unexplained

    Examples: Work that ended or began since the report is not a difference
      | before | now   | age | reported | unexplained |
      | 50000  | 0     | 4   | 50000    | 0           |
      | 0      | 50000 | 0   | 50000    | 0           |
      | 0      | 0     | 1   | 30000    | 30000       |
      | 20000  | 20000 | 1   | 30000    | 10000       |
      | 0      | 0     | 9   | 30000    | 0           |

  @fuzz
  Scenario: A prefix index under late and gapped cache events
    Then random cache events never make the index name a prefix that is not cached
