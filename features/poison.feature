Feature: A prompt that kills upstreams is found out and refused

  Scenario Outline: Strikes and quarantine: <case>
    Given the strikes <strikes>
    Then the prompts are <standings>

    Examples:
      | case                          | strikes                                              | standings                             |
      | one death                     | a@u1/1 b@u1/1                                        | a suspect, b suspect, c clear         |
      | two deaths of one             | a@u1/1 b@u1/1 a@u2/1                                 | a quarantined, b clear                |
      | two, alone in neither         | a@u1/1 b@u1/1 a@u2/1 c@u2/1                          | a quarantined, b clear, c clear       |
      | two in dispute                | a@u1/1 b@u1/1 a@u2/1 c@u2/1 b@u3/1 d@u3/1            | a suspect, b suspect, c suspect       |
      | one death told twice          | a@u1/1 a@u1/1                                        | a suspect                             |
      | two runs of one upstream      | a@u1/1 a@u1/2                                        | a quarantined                         |
      | the same two deaths           | a@u1/1 b@u1/1 a@u2/1 b@u2/1                          | a suspect, b suspect                  |
      | a third death ends the doubt  | a@u1/1 b@u1/1 a@u2/1 b@u2/1 a@u3/1                   | a quarantined, b clear                |
      | a bystander of one of three   | a@u1/1 b@u3/1 a@u2/1 a@u3/1                          | a quarantined, b clear                |
      | two killers                   | a@u1/1 b@u1/1 a@u2/1 b@u3/1                          | a quarantined, b quarantined          |
      | completed after the strike    | a@u1/1 b@u1/1 a:completes a@u1/1                     | a clear, b suspect                    |
      | completed, then struck anew   | a@u1/1 a:completes a@u2/1                            | a suspect                             |
      | a death that did not happen   | a@u1/1 b@u1/1 u1/1:answers a@u1/1                    | a clear, b clear                      |
      | the time has passed           | a@u1/1 a@u2/1 +601                                   | a clear                               |
      | the time has not passed       | a@u1/1 a@u2/1 +590                                   | a quarantined                         |
      | a quarantine of a peer        | peer:a                                               | a quarantined, b clear                |
      | a peer's clock is ahead       | a@u1/1@9999 a@u2/1@9999 +601                         | a clear                               |

  Scenario: The ledger of strikes is bounded
    Given 3000 prompts struck by 3000 deaths
    Then at most 1000 strikes and 1000 quarantines are kept

  Scenario Outline: A poison resent for ever: <where>
    Given <nodes> nodes that gossip before <engines> engines
    When the poison is sent 12 times <where> beside 6 innocents a node
    Then at most <deaths> engines died
    And every innocent prompt was answered and is not held against
    And the last answer to the poison is quarantined/not-run

    Examples:
      | nodes | engines | where            | deaths |
      | 1     | 4       | at one node      | 2      |
      | 3     | 6       | at each in turn  | 3      |
      | 3     | 6       | at all at once   | 3      |
      | 2     | 2       | at each in turn  | 3      |
      | 1     | 1       | at one node      | 2      |

  Scenario: Suspects run apart from each other
    Given 1 nodes that gossip before 2 engines
    When 6 suspects of one death and 4 other prompts are asked together
    Then every one is answered and no two suspects shared an engine

  Scenario: An upstream that died gets nothing until it reports a new run
    Given 1 nodes that gossip before 2 engines
    When an engine dies under the poison and 5 innocents follow
    Then nothing was sent to the dead engine
    And it is used again once it reports a new run

  @fuzz
  Scenario: Any strikes in any order
    Then the poison state machine holds for 200 examples
