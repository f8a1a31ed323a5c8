Feature: A model request completes or fails with a true outcome before its deadline

  Scenario Outline: One fault at each step, with another working engine: <fault>, <form>
    Given a request path over 2 fake engines
    When "<fault>" happens at each step of a <form> answer
    Then the verdicts are <admission>, <connect>, <accept>, <first>, <middle>, <mark>, <after>

    Examples:
      | fault                         | form     | admission       | connect   | accept    | first     | middle    | mark      | after     |
      | engine crash                  | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine restart                | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection cut                | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection silent             | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine silent                 | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine refusing               | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | attempt lost                  | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine hung                   | streamed | expired         | expired   | expired   | expired   | expired   | expired   | whole     |
      | node paused                   | streamed | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | node paused past the deadline | streamed | expired-not-run | expired   | expired   | expired   | expired   | expired   | expired   |
      | caller disconnected           | streamed | cancelled       | cancelled | cancelled | cancelled | cancelled | cancelled | cancelled |
      | caller not reading            | streamed | expired         | expired   | expired   | expired   | expired   | expired   | expired   |
      | engine crash                  | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine restart                | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection cut                | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection silent             | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine silent                 | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine refusing               | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | attempt lost                  | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine hung                   | whole    | expired         | expired   | expired   | expired   | expired   | expired   | whole     |
      | node paused                   | whole    | whole           | whole     | whole     | whole     | whole     | whole     | whole     |
      | node paused past the deadline | whole    | expired-not-run | expired   | expired   | expired   | expired   | expired   | expired   |
      | caller disconnected           | whole    | cancelled       | cancelled | cancelled | cancelled | cancelled | cancelled | cancelled |

  Scenario Outline: One fault at each step, without another engine: <fault>
    Given a request path over 1 fake engines
    When "<fault>" happens at each step of a streamed answer
    Then the verdicts are <admission>, <connect>, <accept>, <first>, <middle>, <mark>, <after>

    Examples:
      | fault             | admission | connect | accept  | first  | middle | mark   | after |
      | engine crash      | refused   | refused | unknown | failed | failed | failed | whole |
      | engine restart    | whole     | whole   | whole   | whole  | whole  | whole  | whole |
      | connection cut    | refused   | refused | whole   | whole  | whole  | whole  | whole |
      | connection silent | whole     | whole   | whole   | whole  | whole  | whole  | whole |
      | engine silent     | unknown   | unknown | unknown | failed | failed | failed | whole |
      | engine refusing   | refused   | refused | whole   | whole  | whole  | whole  | whole |
      | attempt lost      | whole     | whole   | whole   | whole  | whole  | whole  | whole |

  Scenario Outline: A damaged answer is repaired or fails with a true outcome: <damage>
    Given a request path over <engines> fake engines
    And the answers of every engine are <damage>
    When a <form> answer is requested once
    Then the verdict is <verdict>

    Examples:
      | damage            | engines | form     | verdict |
      | doubled           | 1       | streamed | whole   |
      | reordered         | 1       | streamed | whole   |
      | foreign           | 1       | streamed | whole   |
      | gapped            | 1       | streamed | whole   |
      | without end mark  | 2       | streamed | failed  |
      | without end mark  | 2       | whole    | failed  |
      | cut at each chunk | 2       | streamed | whole   |

  Scenario: A late chunk of the first attempt is not delivered with the second
    Given a request path over 2 fake engines
    And the answers of every engine are late
    When "attempt lost" happens at each step of a streamed answer
    Then the verdicts are whole, whole, whole, whole, whole, whole, whole

  Scenario Outline: A retry that generates another answer: <form>
    Given a request path over 2 fake engines
    And the engines generate different answers
    When "engine crash" happens mid-stream of a <form> answer
    Then the verdict is <verdict>

    Examples:
      | form     | verdict     |
      | streamed | failed      |
      | whole    | whole-other |

  Scenario: A long prompt yields no chunk for most of the time to its deadline
    Given a request path over 1 fake engines
    And the engines take 50 s before the first token
    When a streamed answer is requested once
    Then the verdict is whole
    And 1 attempts were accepted

  Scenario Outline: Retries stop at <limit>
    Given a request path over 5 fake engines
    And the retry limits are at most <attempts> attempts with <budget> retries in the budget
    And the answers of every engine are without end mark
    When a whole answer is requested once
    Then the verdict is failed
    And <accepted> attempts were accepted

    Examples:
      | limit           | attempts | budget | accepted |
      | the attempts    | 3        | 10     | 3        |
      | one attempt     | 1        | 10     | 1        |
      | the budget      | 3        | 1      | 2        |
      | an empty budget | 3        | 0      | 1        |

  @fuzz
  Scenario: Any faults in any order
    Then the request state machine holds for 60 examples
