Feature: A completion with an idempotency key runs at most once

  Scenario Outline: A <first> request is replayed for a <second> one
    Given a fleet of two nodes and two engines for keyed completions
    When a <first> request with a key and no seed is sent, and a <second> one after it
    Then both have the same complete text

    Examples:
      | first         | second        |
      | completion    | completion    |
      | completion    | streamed      |
      | streamed      | completion    |
      | chat          | streamed chat |

  Scenario Outline: A key that <defect>
    Given a fleet of two nodes and two engines for keyed completions
    When a completion is sent with a key that <defect>
    Then the completion is refused with <status> and <code>

    Examples:
      | defect                       | status | code                   |
      | was used for another prompt  | 422    | idempotency_key_reused |
      | was used for a chat          | 422    | idempotency_key_reused |
      | has 201 characters           | 400    | bad_request            |

  Scenario: A completion that crashes its engine is not run on another engine
    Given a separate fleet of two nodes and two engines for keyed completions
    When a completion with a key crashes its engine
    Then its outcome is unknown, also when sent again, and one engine still runs
