Feature: The engine stand-in models memory, batch and cache as documented

  Scenario Outline: Memory is reserved, transferred and freed
    Given an engine stand-in of 1000 tokens with a fake clock
    When on the stand-in <steps>
    Then the stand-in uses <used> tokens

    Examples: each step is VERB NAME TOKENS; a span and a stream name their reservation
      | steps                                                     | used |
      | reserve r 600                                             | 600  |
      | reserve r 600, reserve r 600                              | 600  |
      | reserve r 600, reserve s 600 refused                      | 600  |
      | reserve r 600, span e 400 r                               | 600  |
      | reserve r 600, span e 700 r refused                       | 600  |
      | reserve r 600, span e 400 r, release reservation r        | 400  |
      | reserve r 600, span e 400 r, release export e             | 200  |
      | reserve r 600, stream a 500 r                             | 600  |
      | reserve r 600, stream a 500 r, run 1                      | 84   |
      | reserve r 600, span e 400 r, run 100                      | 0    |
      | stream a 500, stream b 500 waits                          | 516  |
      | stream a 500, stream b 500 waits, release stream a        | 0    |
      | stream a 500, stream b 500 waits, release stream b        | 516  |
      | stream a 500, stream b 500 waits, run 10                  | 0    |
      | stream a 500, release stream a, release stream a unknown  | 0    |

  Scenario: Work with a smaller priority number runs first
    Given an engine stand-in of 1000 tokens with a fake clock
    When streams with priorities 5, 1, 3 are submitted to the stand-in
    Then the stand-in finishes them in the order 1, 3, 5

  Scenario: A cached prefix is reported and shortens the prefill
    Given an engine stand-in of 200000 tokens with a fake clock
    When a prompt of 8192 tokens is run twice on the stand-in
    Then the second run has 8192 cached tokens and is at least 4 times as fast

  Scenario Outline: Cache events are delayed and may have gaps
    Given an engine stand-in of 200000 tokens with a fake clock
    And the stand-in omits events whose number is a multiple of <omitted>
    When a prompt of 8192 tokens is run and its events from number <from> on are read after <wait> s
    Then the cache events have the numbers <numbers>

    Examples:
      | omitted | wait | from | numbers |
      | 0       | 0.0  | 0    | none    |
      | 0       | 1.0  | 0    | 0,1,2,3 |
      | 0       | 1.0  | 2    | 2,3     |
      | 2       | 1.0  | 1    | 1,3     |
      | 2       | 1.0  | 0    | 0,1,2,3 |

  Scenario: A full cache evicts the least recently used prefixes
    Given an engine stand-in of 20480 tokens with a fake clock
    When 3 different prompts of 1024 tokens are run on the stand-in
    Then only the last 2 of them are cached
