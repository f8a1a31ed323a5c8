Feature: A prompt that crashes upstreams is detected and quarantined

  Scenario Outline: Strikes and quarantine: <case>
    Given the strikes <strikes>
    Then the prompts are <statuses>

    Examples:
      | case                             | strikes                                   | statuses                        |
      | one crash                        | a@u1/1 b@u1/1                             | a suspect, b suspect, c clear   |
      | two crashes of one prompt        | a@u1/1 b@u1/1 a@u2/1                      | a quarantined, b clear          |
      | two, each beside another prompt  | a@u1/1 b@u1/1 a@u2/1 c@u2/1               | a quarantined, b clear, c clear |
      | two, ambiguous                   | a@u1/1 b@u1/1 a@u2/1 c@u2/1 b@u3/1 d@u3/1 | a suspect, b suspect, c suspect |
      | one crash reported twice         | a@u1/1 a@u1/1                             | a suspect                       |
      | two runs of one upstream         | a@u1/1 a@u1/2                             | a quarantined                   |
      | the same two crashes             | a@u1/1 b@u1/1 a@u2/1 b@u2/1               | a suspect, b suspect            |
      | a third crash is conclusive      | a@u1/1 b@u1/1 a@u2/1 b@u2/1 a@u3/1        | a quarantined, b clear          |
      | one of three with another prompt | a@u1/1 b@u3/1 a@u2/1 a@u3/1               | a quarantined, b clear          |
      | two harmful prompts              | a@u1/1 b@u1/1 a@u2/1 b@u3/1               | a quarantined, b quarantined    |
      | completed after the strike       | a@u1/1 b@u1/1 a:completes a@u1/1          | a clear, b suspect              |
      | completed, then a new strike     | a@u1/1 a:completes a@u2/1                 | a suspect                       |
      | a crash that did not happen      | a@u1/1 b@u1/1 u1/1:answers a@u1/1         | a clear, b clear                |
      | strikes have expired             | a@u1/1 a@u2/1 +601                        | a clear                         |
      | strikes have not expired         | a@u1/1 a@u2/1 +590                        | a quarantined                   |
      | a quarantine of a peer           | peer:a                                    | a quarantined, b clear          |
      | a peer's clock is ahead          | a@u1/1@9999 a@u2/1@9999 +601              | a clear                         |

  Scenario: The numbers of strikes and quarantines are bounded
    Given 3000 prompts with strikes of 3000 crashes
    Then at most 1000 strikes and 1000 quarantines are kept

  Scenario Outline: A poison prompt that is resent: <where>
    Given <nodes> gossiping nodes with <engines> engines
    When the poison prompt is sent 12 times <where> beside 6 harmless prompts per node
    Then at most <crashes> engines crashed
    And every harmless prompt was answered and is not quarantined
    And the last answer to the poison prompt is quarantined/not-run

    Examples:
      | nodes | engines | where           | crashes |
      | 1     | 4       | at one node     | 2       |
      | 3     | 6       | at each in turn | 3       |
      | 3     | 6       | at all at once  | 3       |
      | 2     | 2       | at each in turn | 3       |
      | 1     | 1       | at one node     | 2       |

  Scenario: Suspects do not share an engine
    Given 1 gossiping nodes with 2 engines
    When 6 suspects of one crash and 4 other prompts are sent together
    Then every one is answered and no two suspects shared an engine

  Scenario: A crashed upstream gets no attempts until it reports a new run
    Given 1 gossiping nodes with 2 engines
    When the poison prompt crashes an engine and 5 harmless prompts follow
    Then nothing was sent to the crashed engine
    And it is used again once it reports a new run

  @fuzz
  Scenario: Any strikes in any order
    Then the poison state machine holds for 200 examples
