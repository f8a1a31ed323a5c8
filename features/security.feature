Feature: Secrets are required and never exposed

  Scenario Outline: Operators' and peers' paths need their own secret
    Given a node with its secrets
    Then <path> with <secret> answers <status>

    Examples:
      | path                 | secret               | status |
      | /healthz             | no secret            | 200    |
      | /readyz              | no secret            | 200    |
      | /state               | no secret            | 401    |
      | /state               | a wrong token        | 401    |
      | /state               | the peer secret      | 401    |
      | /state               | an account's key     | 401    |
      | /state               | the operator token   | 200    |
      | /metrics             | no secret            | 401    |
      | /metrics             | the operator token   | 200    |

  Scenario: No secret and no key's digest is in the state dump, the metrics or the logs
    Given a node with its secrets
    When a caller and an operator have been answered
    Then no secret is in the state dump, the metrics or the logs

  Scenario Outline: Oversize request heads are refused and the next request is served
    Given a node with its secrets
    When a caller sends <oversize>
    Then the answer is a client error
    And a good request to that node is answered

    Examples:
      | oversize                 |
      | a header of 100000 bytes |
      | a path of 100000 bytes   |

  Scenario: Logs are one JSON object a line, with part and request id
    Given a node with its secrets
    When a request fails
    Then a log line of part "caller" carries the request's id, and no line is without part
