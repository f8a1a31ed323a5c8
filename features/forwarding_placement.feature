Feature: Prompts of very unlike lengths are placed by predicted time

  Scenario Outline: How many engines read a prompt
    Given <engines> idle engines
    When a prompt of <tokens> tokens with a target of <target> s is placed
    Then <parts> engines read it, each for at most <part> s

    Examples:
      | engines | tokens | target | parts | part |
      | 16      | 5000   | 0.3    | 1     | 0.09 |
      | 16      | 23000  | 0.3    | 3     | 0.09 |
      | 16      | 45000  | 1.5    | 6     | 0.09 |
      | 16      | 182000 | 3.0    | 16    | 0.3  |
      | 23      | 182000 | 3.0    | 17    | 0.3  |
      | 2       | 182000 | 3.0    | 1     | 4.0  |

  Scenario: A prompt that misses its target in any case is read by few engines
    Given 16 idle engines
    When a prompt of 380000 tokens with a target of 1.0 s is placed
    Then 2 engines read it, each for at most 7.5 s

  Scenario Outline: Short prompts keep away from what would delay them
    Given 4 idle engines
    And engine <busy> has <load>
    When 8 short prompts are placed one after the other
    Then engine <busy> gets <count> of them

    Examples:
      | busy | load                  | count |
      | 3    | a long prompt to read | 0     |
      | 3    | 8 open requests       | 0     |
      | 3    | failed lately         | 0     |

  Scenario Outline: Short prompts fill engine after engine, and all before any is full
    Given 10 idle engines
    When <count> short prompts are placed one after the other
    Then engines <first> to 10 get <count> of them
    And no engine gets more than <most> of them

    Examples:
      | count | first | most |
      | 4     | 8     | 3    |
      | 20    | 3     | 6    |
      | 70    | 1     | 8    |

  Scenario Outline: The older the news, the fewer engines a short prompt is placed among
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

  Scenario: A short prompt leaves an engine whose last slots are being taken
    Given 10 idle engines
    And engine 10 has 7 open requests
    When 1 short prompts are placed one after the other
    Then engine 10 gets 0 of them

  Scenario: Long prompts leave the engines to the short ones that these prefer
    Given 10 idle engines
    And engines 8 to 10 write 2 answers each
    When 3 long prompts are placed one after the other
    Then 3 engines at least read none of them

  Scenario Outline: A long prompt weighs its target against the answers it stalls
    Given 10 idle engines
    And engines 1 to 10 write <answers> answers each
    When a prompt of <tokens> tokens with a target of 3.0 s is placed
    Then from <least> to <most> engines read it, within <seconds> s

    Examples:
      | answers | tokens | least | most | seconds |
      | 0       | 182000 | 7     | 10   | 0.7     |
      | 1       | 182000 | 2     | 5    | 2.4     |
      | 6       | 182000 | 2     | 2    | 2.4     |
      | 6       | 300000 | 4     | 6    | 2.4     |

  Scenario Outline: A prompt over one engine's memory is held by several
    Given <engines> idle engines
    When a prompt of <tokens> tokens with a target of 3.0 s is placed
    Then it <result>

    Examples:
      | engines | tokens  | result                       |
      | 8       | 390000  | is held by 2 engines at most |
      | 8       | 900000  | is held by 3 engines at most |
      | 2       | 900000  | finds no room                |
      | 1       | 390000  | finds no room                |

  Scenario Outline: A prompt that can't be read in the time left is not sent
    Given <engines> idle engines
    When a prompt of <tokens> tokens with <left> s left is placed
    Then it <result>

    Examples:
      | engines | tokens | left | result                            |
      | 16      | 900000 | 15.0 | is read by 10 engines at most     |
      | 16      | 900000 | 0.5  | is too late                       |
      | 16      | 900000 | 6.0  | is too late                       |
      | 16      | 182000 | 0.2  | is too late                       |
      | 16      | 182000 | 2.0  | is read by 16 engines at most     |
      | 16      | 5000   | 0.01 | is too late                       |
      | 16      | 5000   | 0.5  | is read by 1 engines at most      |

  Scenario Outline: Predictions end with what really happens
    Given an upstream that reads a prompt of 2 s
    When at the upstream <event>
    Then its predicted reading is <left> s

    Examples:
      | event                                 | left |
      | nothing happens for 0.5 s             | 1.5  |
      | its first event comes                 | 0    |
      | it is 1 s late                        | 0.3  |
      | it is 6 s late and nothing was heard  | 0    |
      | a peer gives it 1 s more              | 3.0  |
      | a peer's prompt there is read         | 2.0  |
      | it is given up in a pass of 0.4 s     | 0.4  |
      | it is given up 0.5 s ago, in a pass of 0.4 s | 0 |
      | a peer gives up 3 s in a pass of 0.5 s | 2.5 |
      | its first event comes, and then it is given up | 0 |

  Scenario: A silent peer no longer counts
    Given a peer with 3 requests open on an upstream
    When nothing is heard of it for 3.1 s
    Then the upstream has 0 open requests
