Feature: Prompts larger than one engine's memory are answered by a group

  Scenario Outline: A plan spreads the prompt over as few members as hold it
    When a prompt of <prompt> tokens and an answer of <answer> are planned over <free>
    Then the group plan is <plan>

    Examples: free memory by member; the plan's members in the order of the prompt
      | prompt | answer | free                   | plan                |
      | 1500   | 100    | a 1000, b 1000         | b, a                |
      | 1500   | 100    | a 1000, b 1000, c 1000 | b, a                |
      | 2500   | 100    | a 1000, b 1000, c 1000 | b, c, a             |
      | 1500   | 100    | a 100, b 1000, c 1000  | c, b                |
      | 1500   | 100    | a 400, b 500, c 2000   | c                   |
      | 1900   | 100    | a 1000, b 1000         | b, a                |
      | 2000   | 100    | a 1000, b 1000         | insufficient memory |
      | 1500   | 100    | a 1000, b 0            | insufficient memory |
      | 1500   | 100    | a 0                    | insufficient memory |
      | 150    | 1500   | a 1000, b 1000         | insufficient memory |

  Scenario: Plans are valid for any members and any text
    Then any plan covers the prompt, fits the free memory, and orders the members by name

  Scenario Outline: A prompt is answered in full by a group, or refused with the right error
    Given a zone of engines with <memory> tokens
    When a prompt of <prompt> tokens is sent to the zone
    Then the request to the zone is <end>
    And the zone holds nothing afterwards

    Examples:
      | memory              | prompt | end                      |
      | 1000, 1000, 1000    | 2500   | answered                 |
      | 1000, 1000, 1000    | 2900   | answered                 |
      | 1000, 600, 900, 100 | 2300   | answered                 |
      | 1000, 1000, 1000    | 2990   | refused: prompt_too_long |
      | 1000, 1000, 1000    | 9000   | refused: prompt_too_long |

  Scenario Outline: Every fault at every step of a group leaves nothing behind
    Given a zone of engines with 1000, 1000, 1000 tokens
    And at call <call> of <step> the fault <fault>
    When a prompt of 2500 tokens is sent to the zone
    Then the request to the zone is <end>
    And the zone holds nothing afterwards

    Examples: a crash loses everything that the engine held
      | step    | call | fault       | end      |
      | reserve | 1    | refuse      | answered |
      | reserve | 2    | refuse      | answered |
      | reserve | 3    | refuse      | answered |
      | reserve | 1    | unreachable | answered |
      | reserve | 3    | unreachable | answered |
      | reserve | 1    | crash       | answered |
      | reserve | 2    | crash       | answered |
      | reserve | 3    | crash       | answered |
      | reserve | 1    | cut         | answered |
      | reserve | 2    | cut         | answered |
      | reserve | 3    | cut         | answered |
      | reserve | 1    | silent      | answered |
      | reserve | 2    | silent      | answered |
      | reserve | 3    | silent      | answered |
      | prefill | 1    | refuse      | answered |
      | prefill | 2    | refuse      | answered |
      | prefill | 1    | unreachable | answered |
      | prefill | 1    | crash       | answered |
      | prefill | 2    | crash       | answered |
      | prefill | 1    | cut         | answered |
      | prefill | 2    | cut         | answered |
      | prefill | 1    | silent      | answered |
      | prefill | 2    | silent      | answered |
      | open    | 1    | refuse      | answered |
      | open    | 1    | unreachable | answered |
      | open    | 1    | crash       | answered |
      | open    | 1    | cut         | answered |
      | open    | 1    | silent      | answered |
      | read    | 1    | crash       | answered |
      | read    | 1    | cut         | answered |
      | read    | 1    | silent      | answered |
      | read    | 5    | crash       | answered |
      | read    | 5    | cut         | answered |
      | read    | 5    | silent      | answered |
      | release | 1    | cut         | answered |
      | release | 1    | silent      | answered |
      | release | 1    | unreachable | answered |
      | release | 2    | crash       | answered |

  Scenario Outline: A request that ends early at any step of a group leaves nothing behind
    Given a zone of engines with 1000, 1000, 1000 tokens
    And at call <call> of <step> <event>
    When a prompt of 2500 tokens is sent to the zone
    Then the request to the zone is <end>
    And the zone holds nothing afterwards

    Examples:
      | step    | call | event                  | end                                 |
      | reserve | 1    | the caller disconnects | cancelled                           |
      | reserve | 2    | the caller disconnects | cancelled                           |
      | reserve | 3    | the caller disconnects | cancelled                           |
      | prefill | 1    | the caller disconnects | cancelled                           |
      | prefill | 2    | the caller disconnects | cancelled                           |
      | open    | 1    | the caller disconnects | cancelled                           |
      | read    | 2    | the caller disconnects | cancelled                           |
      | reserve | 1    | the deadline passes    | refused: deadline_exceeded, not-run |
      | reserve | 3    | the deadline passes    | refused: deadline_exceeded, not-run |
      | prefill | 1    | the deadline passes    | refused: deadline_exceeded, unknown |
      | open    | 1    | the deadline passes    | refused: deadline_exceeded, unknown |
      | read    | 2    | the deadline passes    | refused: deadline_exceeded, unknown |

  Scenario Outline: A group request ends in time when engines keep failing
    Given a zone of engines with 1000, 1000, 1000 tokens
    And at every call of <step> the fault <fault>
    When a prompt of 2500 tokens is sent to the zone
    Then the request to the zone is refused: <end>
    And the group request ended within <bound> s
    And the zone holds nothing afterwards

    Examples:
      | step    | fault       | end                      | bound |
      | reserve | refuse      | overloaded, not-run      | 31    |
      | reserve | unreachable | overloaded, not-run      | 31    |
      | reserve | cut         | overloaded, not-run      | 31    |
      | reserve | silent      | overloaded, not-run      | 34    |
      | prefill | refuse      | upstream_failed, failed  | 11    |
      | prefill | crash       | upstream_failed, failed  | 11    |
      | open    | refuse      | upstream_failed, failed  | 11    |
      | open    | crash       | upstream_failed, unknown | 60    |

  Scenario: An unknown outcome of an earlier attempt is kept
    Given a zone of engines with 1000, 1000, 1000 tokens
    And at call 1 of open the fault crash
    And from call 3 of prefill on the fault refuse
    When a prompt of 2500 tokens is sent to the zone
    Then the request to the zone is refused: upstream_failed, unknown

  Scenario Outline: Nodes that form groups concurrently neither deadlock nor starve
    Given a zone of engines with <memory> tokens and <nodes> nodes
    When each node sends a prompt of <prompt> tokens to the zone at once
    Then every request to the zone is answered before its deadline
    And the zone holds nothing afterwards

    Examples:
      | memory                 | nodes | prompt |
      | 1000, 1000, 1000       | 2     | 2500   |
      | 1000, 1000, 1000, 1000 | 2     | 1800   |
      | 1000, 1000, 1000, 1000 | 4     | 3500   |
      | 1000, 1000, 1000       | 8     | 2500   |

  Scenario Outline: Groups of different nodes run concurrently if the memory suffices for both
    Given a zone of engines with <memory> tokens and <nodes> nodes
    And the engines of the zone process 300 tokens a second
    When each node sends a prompt of <prompt> tokens to the zone at once
    Then every request to the zone is answered before its deadline
    And the slowest took at most 1.5 times as long as the fastest

    Examples:
      | memory                                         | nodes | prompt |
      | 1000, 1000, 1000, 1000                         | 2     | 1800   |
      | 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000 | 4     | 1800   |
      | 1000, 1000, 1000, 1000, 1000, 1000, 1000, 1000 | 2     | 3500   |

  Scenario: A span that outlasts one call is awaited again, not restarted
    Given a zone of engines with 1000, 1000, 1000 tokens
    And the engines of the zone process 30 tokens a second
    When a prompt of 2500 tokens is sent to the zone
    Then the request to the zone is answered
    And 3 calls of reserve were made

  Scenario: A group that cannot reserve its memory in time is refused with a retry delay
    Given a zone of engines with 1000, 1000, 1000 tokens
    And another owner holds 1000 tokens of engine-1
    When a prompt of 2500 tokens is sent to the zone
    Then the request to the zone is refused: overloaded, not-run
    And the group request ended within 31 s

  Scenario: Random faults during two concurrent groups lead to full answers or true failures
    Then every request ends correctly under random faults during two groups
