Feature: A silent upstream is given up only when another one has taken over

  # A sound upstream may be silent for a second or two and go on.
  Scenario Outline: A stream whose upstream is silent for a while is answered in full
    Given a node on the platform with two workers for each service
    When a worker is silent <when> a stream for <silence> s, and the other one <other>
    Then the client gets a whole stream

    Examples:
      | when   | silence | other                |
      | within | 1.6     | declines             |
      | within | 1.6     | breaks off           |
      | within | 1.6     | answers with 404     |
      | within | 1.6     | answers with 500     |
      | within | 1.6     | is silent            |
      | within | 1.6     | is gone              |
      | within | 1.6     | streams              |
      | within | 30      | streams              |
      | before | 1.6     | declines             |
      | before | 1.6     | breaks off           |
      | before | 1.6     | is silent            |
      | before | 1.6     | is gone              |
      | before | 30      | streams              |

  Scenario Outline: A call whose upstream is silent for a while is answered
    Given a node on the platform with two workers for each service
    When a worker is silent before a call for <silence> s, and the other one <other>
    Then the client gets a whole answer

    Examples:
      | silence | other      |
      | 1.2     | declines   |
      | 1.2     | breaks off |
      | 1.2     | is silent  |
      | 1.2     | is gone    |
      | 30      | answers    |

  @fuzz
  Scenario: Attempts that are open at the same time never lose or mix up an answer
    When 300 requests meet upstreams with random silences and failures
    Then each sound first attempt was answered, and no answer was mixed up or run too often
