Feature: Placement by length

  Scenario Outline: A mixed stream of prompts under each policy
    Given 8 upstreams of 400000 tokens under <policy>
    When 60 short and 6 long prompts are placed in turn, 12 short ones running
    Then <least> to <most> prompt tokens are ahead of the worst placed short prompt
    And <free> or more upstreams carry no long prompt

    Examples: Only length_aware keeps upstreams free of long prompts
      | policy          | least  | most   | free |
      | length_aware    | 0      | 6000   | 2    |
      | round_robin     | 120000 | 999999 | 0    |
      | least_in_flight | 120000 | 999999 | 0    |

  Scenario Outline: Placement of one prompt
    Given upstreams a, b, c and d whose state is <state>
    When a prompt of <tokens> tokens is placed with long preference <preference>
    Then it goes to <upstream>

    Examples:
      | state                                   | tokens | preference | upstream |
      | idle                                    | 2000   | 0.5        | d        |
      | idle                                    | 120000 | 0.5        | a        |
      | d has short prompts                     | 2000   | 0.5        | a        |
      | a has a long prompt                     | 120000 | 0.5        | b        |
      | a to c have long prompts                | 120000 | 0.5        | none     |
      | a to c have long prompts                | 2000   | 0.5        | d        |
      | a to c have long prompts, d a short one | 2000   | 0.0        | a        |
      | a to c have long prompts, d a short one | 2000   | 1.0        | d        |
      | d is full                               | 2000   | 0.5        | a        |
      | all are full                            | 2000   | 0.5        | none     |
      | c caches the prompt                     | 2000   | 0.5        | c        |
      | b caches the prompt                     | 120000 | 0.5        | b        |
      | d is reserved                           | 120000 | 0.5        | d        |
      | d was tried                             | 2000   | 0.5        | c        |

  Scenario Outline: The split follows demand with hysteresis
    Given a zone of 8 upstreams with long preference <preference>
    When long work needs <first> upstreams for 60 s, then <second> for <time> s
    Then long prompts may use <size> upstreams

    Examples:
      | preference | first | second | time | size |
      | 0.0        | 0.5   | 0.5    | 1    | 1    |
      | 1.0        | 0.5   | 0.5    | 1    | 2    |
      | 0.0        | 4.0   | 4.0    | 1    | 5    |
      | 0.0        | 9.0   | 9.0    | 1    | 6    |
      | 0.0        | 0.5   | 4.0    | 1    | 1    |
      | 0.0        | 0.5   | 4.0    | 4    | 5    |
      | 0.0        | 4.0   | 0.5    | 4    | 5    |
      | 0.0        | 4.0   | 0.5    | 20   | 1    |

  Scenario Outline: The priority of a waiting long prompt rises to that of short ones
    When a prompt of <tokens> tokens waited <waited> s with long preference <preference>
    Then its engine priority is <priority>

    Examples:
      | tokens | waited | preference | priority |
      | 2000   | 0      | 0.5        | 0        |
      | 2000   | 90     | 0.5        | 0        |
      | 120000 | 0      | 0.5        | 10       |
      | 120000 | 12     | 0.0        | 8        |
      | 120000 | 12     | 1.0        | 4        |
      | 120000 | 900    | 0.0        | 0        |

  Scenario Outline: A load report corrects the counts only by its excess over them
    Given counts of <before> prompt tokens until 3 s ago and <now> since
    When a report measured <age> s ago shows <reported> queued tokens
    Then <unexplained> tokens are unexplained

    Examples: Work that ended or started since the report is not a difference
      | before | now   | age | reported | unexplained |
      | 50000  | 0     | 4   | 50000    | 0           |
      | 0      | 50000 | 0   | 50000    | 0           |
      | 0      | 0     | 1   | 30000    | 30000       |
      | 20000  | 20000 | 1   | 30000    | 10000       |
      | 0      | 0     | 9   | 30000    | 0           |

  @fuzz
  Scenario: A prefix index under delayed and lost cache events
    Then under random cache events the index never lists a prefix that is not cached
