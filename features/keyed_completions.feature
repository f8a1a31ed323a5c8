Feature: A completion with an idempotency key runs at most once

  Scenario Outline: A <first> request is replayed for a <second> one
    Given two nodes before two engines, for completions with keys
    When a <first> request with a key and no seed is sent, and a <second> one after it
    Then both have the same whole text

    Examples:
      | first         | second        |
      | completion    | completion    |
      | completion    | streamed      |
      | streamed      | completion    |
      | chat          | streamed chat |

  Scenario Outline: A key that <defect>
    Given two nodes before two engines, for completions with keys
    When a completion's key <defect>
    Then the completion is refused with <status> and <code>

    Examples:
      | defect                       | status | code                   |
      | was used for another prompt  | 422    | idempotency_key_reused |
      | was used for a chat          | 422    | idempotency_key_reused |
      | has 201 characters           | 400    | bad_request            |

  Scenario: An engine that dies is not followed by another one
    Given two nodes before two engines of their own, for completions with keys
    When a completion with a key kills its engine
    Then its outcome is unknown, also when sent again, and one engine is left
