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

  Scenario Outline: The work of both upstreams ends with the request
    Given a node on the platform with two workers for each service
    When a <kind> with <limit> ms is sent, and both workers are silent <when> it
    Then the client gets <answer> and <runs> workers ran it
    And no worker is at work 0.5 s later

    Examples:
      | kind               | when   | limit | answer     | runs |
      | call               | before | 1500  | status 504 | 2    |
      | order              | before | 1500  | status 504 | 1    |
      | stream             | before | 2500  | status 504 | 2    |
      | stream             | within | 2500  | no answer  | 2    |
      | stream to run once | before | 2500  | status 504 | 1    |
      | stream to run once | within | 2500  | no answer  | 1    |

  Scenario Outline: The work of both upstreams ends when the client leaves
    Given a node on the platform with two workers for each service
    When a client leaves a <kind> after <after> s while two workers are silent <when> it
    Then no worker is at work 0.5 s later
    And 2 workers ran it

    Examples:
      | kind   | when   | after |
      | call   | before | 0.9   |
      | stream | before | 1.6   |
      | stream | within | 1.6   |

  @fuzz
  Scenario: Attempts that are open at the same time never lose or mix up an answer
    When 300 requests meet upstreams with random silences and failures
    Then each sound first attempt was answered, and no answer was mixed up or run too often
