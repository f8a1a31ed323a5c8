Feature: Each request that a node has read is answered on its caller's connection

  # The rest of a body that arrived after the node stopped listening was dropped, and the
  # connection ended without an answer.
  Scenario Outline: A request whose body arrives while the node stops is answered
    Given a node on the platform with two workers for each service
    When the node is stopped, and a client sends <target> with a body <framing> from <start> s to <end> s later
    Then it gets the worker's own answer within 1 s, and the connection is closed
    And the node exits with status 0

    Examples:
      | target       | framing      | start | end |
      | /order/1     | with length  | 2     | 4   |
      | /order/1     | in chunks    | 2     | 4   |
      | /read/1      | with length  | 1.5   | 4   |
      | /stream/1    | in chunks    | 2.5   | 3.5 |
      | /order/1     | with length  | 0.5   | 2   |

  # While the answer waited for the caller, the upstream was taken for silent: the request
  # went to another one, whose answer followed the first on the same connection.
  Scenario Outline: A caller that reads a large answer slowly gets it once
    Given a node on the platform with two workers for each service
    When its workers give large answers, and a client sends <target> and reads after <pause> s
    Then it gets <answer> of the worker and nothing else
    And one worker ran the request

    Examples:
      | target         | pause | answer           |
      | /read/1        | 0.1   | the whole answer |
      | /read/1        | 1.2   | the whole answer |
      | /order/1       | 1.2   | the whole answer |
      | /stream/1      | 1.8   | the whole stream |
      | /stream/once/1 | 1.8   | the whole stream |

  # Its connection was closed without an answer.
  Scenario Outline: A request that outlasts the stop of its node gets an answer
    Given a node on the platform with two workers for each service
    When the node is stopped while a client's <target> takes longer than the stop
    Then the client gets status 504 before the node is killed, and the connection is closed
    And the node exits with status 0

    Examples:
      | target    |
      | /read/1   |
      | /order/1  |
      | /stream/1 |

  # Requests that were taken after the load balancer's delay were broken off by the stop.
  Scenario Outline: A request that a stopping node may not finish is refused as not run
    Given a node on the platform with two workers for each service
    And its routes have a time limit of 8 s
    When the node is stopped, and a client sends <target> with <limit> ms on a kept connection <moment>
    Then it gets <answer>, and the connection is closed
    And the node exits with status 0

    Examples:
      | target         | limit | moment                 | answer                 |
      | /order/1       | 8000  | 1 s later              | the worker's answer    |
      | /order/1       | 8000  | 2.7 s later            | a refusal              |
      | /stream/1      | 8000  | 2.9 s later            | a refusal              |
      | /stream/once/1 | 8000  | 2.9 s later            | a refusal              |
      | /order/1       | 2000  | 2.9 s later            | the worker's answer    |
      | /read/1        | 8000  | at the end of a stream | a refusal or no answer |

  # The next request on the connection was taken for the body.
  Scenario Outline: A refusal before a caller was told to send its body closes the connection
    Given a node on the platform with two workers for each service
    When the head of a POST arrives with Expect <expect> and headers of <size> bytes
    Then it gets status 431, and the connection is <end> after it

    Examples:
      | expect       | size | end        |
      | 100-continue | 5000 | closed     |
      | 100-Continue | 5000 | closed     |
      | nothing      | 5000 | kept       |
