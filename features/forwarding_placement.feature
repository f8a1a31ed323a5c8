Feature: Prompts of very different lengths are placed by predicted time

  Scenario Outline: Number of engines that prefill a prompt
    Given <engines> idle engines
    When a prompt of <tokens> tokens with a target of <target> s is placed
    Then <count> engines prefill it, each for at most <seconds> s

    Examples:
      | engines | tokens | target | count | seconds |
      | 16      | 5000   | 0.3    | 1     | 0.09    |
      | 16      | 23000  | 0.3    | 3     | 0.09    |
      | 16      | 45000  | 1.5    | 6     | 0.09    |
      | 16      | 182000 | 3.0    | 16    | 0.3     |
      | 23      | 182000 | 3.0    | 17    | 0.3     |
      | 2       | 182000 | 3.0    | 1     | 4.0     |

  Scenario: A prompt that can't meet its target is prefilled by few engines
    Given 16 idle engines
    When a prompt of 380000 tokens with a target of 1.0 s is placed
    Then 2 engines prefill it, each for at most 7.5 s

  Scenario Outline: Short prompts avoid engines that would delay them
    Given 4 idle engines
    And engine <busy> has <load>
    When 8 short prompts are placed one after the other
    Then engine <busy> gets <count> of them

    Examples:
      | busy | load                     | count |
      | 3    | a long prompt to prefill | 0     |
      | 3    | 8 open requests          | 0     |
      | 3    | failed recently          | 0     |

  Scenario Outline: Short prompts fill engines in order, and use all before one is full
    Given 10 idle engines
    When <count> short prompts are placed one after the other
    Then engines <first> to 10 get <count> of them
    And no engine gets more than <most> of them

    Examples:
      | count | first | most |
      | 4     | 8     | 3    |
      | 20    | 3     | 6    |
      | 70    | 1     | 8    |

  # With a sample of any three engines, short prompts waited a second behind long ones
  # while other engines were free.
  Scenario Outline: A short prompt is compared on engines without long prefills
    Given <busy> of 26 engines prefill long prompts for 1 s
    Then a node with 27 peers compares 3 of the <pool> engines with the shortest long prefills

    Examples:
      | busy | pool |
      | 0    | 26   |
      | 13   | 13   |
      | 18   | 8    |
      | 24   | 8    |
      | 26   | 8    |

  Scenario Outline: With more peers, fewer engines are compared for a short prompt
    When a node with <peers> peers places a short prompt on <engines> engines
    Then it compares <count> of them

    Examples:
      | peers | engines | count |
      | 0     | 16      | 16    |
      | 8     | 16      | 16    |
      | 16    | 30      | 8     |
      | 86    | 78      | 3     |
      | 86    | 2       | 2     |
      | 86    | 0       | 0     |

  Scenario: A short prompt avoids an engine with one free slot
    Given 10 idle engines
    And engine 10 has 7 open requests
    When 1 short prompts are placed one after the other
    Then engine 10 gets 0 of them

  Scenario: Long prompts avoid the engines that short prompts use
    Given 10 idle engines
    And engines 8 to 10 decode 2 answers each
    When 3 long prompts are placed one after the other
    Then at least 3 engines prefill none of them

  Scenario Outline: Placement of a long prompt weighs its target against stalled answers
    Given 10 idle engines
    And engines 1 to 10 decode <answers> answers each
    When a prompt of <tokens> tokens with a target of 3.0 s is placed
    Then from <least> to <most> engines prefill it, within <seconds> s

    Examples:
      | answers | tokens | least | most | seconds |
      | 0       | 182000 | 7     | 10   | 0.7     |
      | 1       | 182000 | 2     | 5    | 2.4     |
      | 6       | 182000 | 2     | 2    | 2.4     |
      | 6       | 300000 | 4     | 6    | 2.4     |

  Scenario Outline: A prompt larger than one engine's memory is held by several
    Given <engines> idle engines
    When a prompt of <tokens> tokens with a target of 3.0 s is placed
    Then it <result>

    Examples:
      | engines | tokens  | result                       |
      | 8       | 390000  | is held by at most 2 engines |
      | 8       | 900000  | is held by at most 3 engines |
      | 2       | 900000  | has no room                  |
      | 1       | 390000  | has no room                  |

  Scenario Outline: A prompt that can't be prefilled before its deadline is not sent
    Given <engines> idle engines
    When a prompt of <tokens> tokens with <left> s left is placed
    Then it <result>

    Examples:
      | engines | tokens | left | result                             |
      | 16      | 900000 | 15.0 | is prefilled by at most 10 engines |
      | 16      | 900000 | 0.5  | can't meet its deadline            |
      | 16      | 900000 | 6.0  | can't meet its deadline            |
      | 16      | 182000 | 0.2  | can't meet its deadline            |
      | 16      | 182000 | 2.0  | is prefilled by at most 16 engines |
      | 16      | 5000   | 0.01 | can't meet its deadline            |
      | 16      | 5000   | 0.5  | is prefilled by at most 1 engines  |

  Scenario Outline: Predicted prefill time is corrected by later events
    Given an upstream with a prefill of 2 s
    When at the upstream <event>
    Then its predicted prefill takes <left> s

    Examples:
      | event                                                | left |
      | nothing happens for 0.5 s                            | 1.5  |
      | its first event arrives                              | 0    |
      | it is 1 s overdue                                    | 0.3  |
      | it is 6 s overdue without an event                   | 0    |
      | a peer adds 1 s                                      | 3.0  |
      | a peer's prefill ends                                | 2.0  |
      | it is cancelled in a pass of 0.4 s                   | 0.4  |
      | it was cancelled 0.5 s ago, in a pass of 0.4 s       | 0    |
      | a peer cancels 3 s in a pass of 0.5 s                | 2.5  |
      | its first event arrives, and then it is cancelled    | 0    |

  Scenario: The requests of a silent peer are not counted
    Given a peer with 3 requests open on an upstream
    When it sends nothing for 3.1 s
    Then the upstream has 0 open requests

  Scenario Outline: Zones with enough engines are cells of their own
    Given <engines> engines in the zones north, east and south
    Then the cell of a node in <zone> is <cell>

    Examples:
      | engines     | zone  | cell                  |
      | 6, 5 and 5  | north | north, east and south |
      | 8, 8 and 7  | north | north, east and south |
      | 9, 9 and 9  | east  | east                  |
      | 18, 18, 18  | south | south                 |
      | 27, 27, 0   | south | south                 |
      | 20, 0, 0    | north | north, east and south |

  Scenario Outline: A short prompt leaves its cell only when the cell is full
    Given 6 engines of the own cell, each with <own> open requests
    And 6 engines of another cell, each with <other> open requests
    When a short prompt is placed among both
    Then it goes to <cell>

    Examples: engines with 8 slots
      | own | other | cell           |
      | 0   | 0     | the own cell   |
      | 5   | 0     | the own cell   |
      | 8   | 0     | the other cell |
      | 9   | 2     | the other cell |
      | 9   | 9     | the own cell   |

  Scenario Outline: A long prompt leaves its cell only if it would miss its target there
    Given 6 engines of the own cell, each with <own> s of prefill
    And 6 engines of another cell, each with <other> s of prefill
    When a long prompt with a target of 3 s is placed among both
    Then it goes to <cell>

    Examples:
      | own | other | cell           |
      | 0   | 0     | the own cell   |
      | 1   | 0     | the own cell   |
      | 6   | 0     | the other cell |
      | 6   | 8     | the own cell   |

  Scenario Outline: The load of another cell's engine is the greater of what is known
    Given a summary of another cell that is <age> s old, with <told> open requests and 1.5 s of prefill on an engine
    And this node has <own> open requests there
    Then that engine has <requests> open requests and <prefill> s of prefill

    Examples:
      | age | told | own | requests | prefill |
      | 0   | 3    | 0   | 3        | 1.5     |
      | 0.5 | 3    | 5   | 5        | 1.0     |
      | 2   | 3    | 1   | 3        | 0       |

  Scenario: A summary that is too old is not used
    Given a summary of another cell that is 2.5 s old, with 3 open requests and 1.5 s of prefill on an engine
    Then the load of that cell is unknown

  Scenario Outline: The load of an engine is the sum of what the peers last told
    Given <updates> updates of 30 peers at random times, for seed <seed>
    Then every engine has the load of the peers that were not silent for 3 s

    Examples:
      | updates | seed |
      | 50      | 1    |
      | 500     | 2    |
      | 500     | 3    |

  Scenario Outline: Rare updates do not make a peer silent
    Then with <peers> peers the load of one is ignored after <timeout> s

    Examples:
      | peers | timeout |
      | 8     | 3.0     |
      | 39    | 3.9     |
      | 194   | 19.4    |
