Feature: A model request finishes or fails truthfully within its bound

  Scenario Outline: One fault at each step, another engine working: <fault>, <form>
    Given a request path over 2 fake engines
    When "<fault>" happens at each step of a <form> answer
    Then the verdicts are <admission>, <connect>, <accept>, <first>, <middle>, <mark>, <after>

    Examples:
      | fault                      | form     | admission    | connect   | accept    | first     | middle    | mark      | after     |
      | engine crash               | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine restart             | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection cut             | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection silent          | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine silent              | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine refusing            | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | attempt gone               | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine stuck               | streamed | late         | late      | late      | late      | late      | late      | whole     |
      | node paused                | streamed | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | node paused past the bound | streamed | late-not-run | late      | late      | late      | late      | late      | late      |
      | caller gone                | streamed | cancelled    | cancelled | cancelled | cancelled | cancelled | cancelled | cancelled |
      | caller silent              | streamed | late         | late      | late      | late      | late      | late      | late      |
      | engine crash               | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine restart             | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection cut             | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | connection silent          | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine silent              | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine refusing            | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | attempt gone               | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | engine stuck               | whole    | late         | late      | late      | late      | late      | late      | whole     |
      | node paused                | whole    | whole        | whole     | whole     | whole     | whole     | whole     | whole     |
      | node paused past the bound | whole    | late-not-run | late      | late      | late      | late      | late      | late      |
      | caller gone                | whole    | cancelled    | cancelled | cancelled | cancelled | cancelled | cancelled | cancelled |

  Scenario Outline: One fault at each step, no other engine: <fault>
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
      | attempt gone      | whole     | whole   | whole   | whole  | whole  | whole  | whole |

  Scenario Outline: A damaged answer becomes whole or a truthful failure: <damage>
    Given a request path over <engines> fake engines
    And the answers of every engine are <damage>
    When a <form> answer is asked for once
    Then the verdict is <verdict>

    Examples:
      | damage           | engines | form     | verdict |
      | doubled          | 1       | streamed | whole   |
      | reordered        | 1       | streamed | whole   |
      | foreign          | 1       | streamed | whole   |
      | gapped           | 1       | streamed | whole   |
      | without end mark | 2       | streamed | failed  |
      | without end mark | 2       | whole    | failed  |
      | cut at each chunk | 2      | streamed | whole   |

  Scenario: A late chunk of the first attempt is no part of the second
    Given a request path over 2 fake engines
    And the answers of every engine are late
    When "attempt gone" happens at each step of a streamed answer
    Then the verdicts are whole, whole, whole, whole, whole, whole, whole

  Scenario Outline: A rerun that gives another answer: <form>
    Given a request path over 2 fake engines
    And the engines give unlike answers
    When "engine crash" happens mid-stream of a <form> answer
    Then the verdict is <verdict>

    Examples:
      | form     | verdict     |
      | streamed | failed      |
      | whole    | whole-other |

  Scenario: A long prompt is silent for most of its bound
    Given a request path over 1 fake engines
    And the engines take 50 s before the first token
    When a streamed answer is asked for once
    Then the verdict is whole
    And 1 attempts were accepted

  Scenario Outline: Retries stop at <limit>
    Given a request path over 5 fake engines
    And the retry limits are at most <attempts> attempts with <saved> saved retries
    And the answers of every engine are without end mark
    When a whole answer is asked for once
    Then the verdict is failed
    And <accepted> attempts were accepted

    Examples:
      | limit            | attempts | saved | accepted |
      | the attempts     | 3        | 10    | 3        |
      | one attempt      | 1        | 10    | 1        |
      | the budget       | 3        | 1     | 2        |
      | an empty budget  | 3        | 0     | 1        |

  @fuzz
  Scenario: Any faults in any order
    Then the request state machine holds for 60 examples
