Feature: Memory reserved for a prompt does not outlive its use

  # Memory stayed reserved for 7 s after the answering engine had gone dark.
  Scenario Outline: Memory is released when the engine that answers stays unreachable
    Given memory is reserved on two engines for a prompt that a third one answers
    When the third one is unreachable from <from> s to <to> s
    Then the memory is <state> at <at> s

    Examples:
      | from | to  | state    | at  |
      | 9    | 9   | reserved | 8   |
      | 0.5  | 9   | released | 2.5 |
      | 2.2  | 9   | released | 4.5 |
      | 0.5  | 1.5 | reserved | 8   |

  # Memory stayed reserved for 7.5 s: the engine's row was gone 3.2 s after it went dark.
  Scenario Outline: Memory is released when the engine that answers is no longer listed
    Given memory is reserved on two engines for a prompt that a third one answers
    When the third one is unreachable from <from> s on, and not listed from <unlisted> s on
    Then the memory is <state> at <at> s

    Examples:
      | from | unlisted | state    | at  |
      | 2.2  | 2.6      | released | 5.5 |
      | 2.2  | 3.5      | released | 5.5 |
      | 9    | 2.6      | reserved | 8   |

  # Memory was released in the midst of an answer after one connection had failed: the
  # nodes of a large cell rarely probe an upstream, and it counted as unreachable so long.
  Scenario Outline: Memory is kept while connections to the engine fail now and then
    Given memory is reserved on two engines for a prompt that a third one answers
    When one connection in 2 s to the third one fails, at a node with <peers> peers
    Then the memory is reserved at 20 s

    Examples:
      | peers |
      | 0     |
      | 28    |
      | 86    |
