Feature: Requests from caller to upstream in separate processes

  Scenario Outline: A request of each kind is answered
    Given a running fleet of 3 nodes, 2 engines and 1 plain service
    When a caller sends a <kind> request to each node
    Then every answer is complete and belongs to its request

    Examples:
      | kind                 |
      | completion           |
      | streamed completion  |
      | chat                 |
      | streamed chat        |
      | plain service        |

  Scenario Outline: A bad request is refused, and the next valid one is served
    Given a running fleet of 1 nodes, 1 engines and 1 plain service
    When a caller sends a request with <defect>
    Then the answer has status <status> and code <code>
    And the next valid request is served

    Examples:
      | defect               | status | code             |
      | no key               | 401    | unauthenticated  |
      | a wrong key          | 401    | unauthenticated  |
      | broken JSON          | 400    | bad_request      |
      | an unknown field     | 400    | bad_request      |
      | an unknown model     | 404    | not_found        |
      | an over-long prompt  | 400    | prompt_too_long  |
      | a bad timeout        | 400    | bad_request      |
      | max_tokens of 0      | 400    | bad_request      |
      | an oversize body     | 413    | body_too_large   |
      | an unknown service   | 404    | not_found        |
