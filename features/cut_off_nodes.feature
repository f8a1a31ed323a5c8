Feature: Nodes that reach no upstream

  # Nodes that lost their links to all upstreams served 0 of 58 first tries, others 64 of 64.
  Scenario Outline: Callers of a node that reaches no upstream are served
    Given a zone with two nodes, and another one whose node loses its links
    When its links to all workers <fault>, and 10 requests a second are sent to it for 8 s
    Then all that are sent later than 3 s after that are answered with 200
    And no order ran twice

    Examples:
      | fault                  |
      | refuse new connections |
      | hang                   |

  Scenario Outline: A request that another node serves is the caller's own
    Given a zone with two nodes, and another one whose node reaches no worker
    When a client sends <method> <target> to it, and the same to a node that reaches them
    Then both get the same answer, and workers see the same request

    Examples:
      | method | target          |
      | GET    | /read/a%2Fb?    |
      | POST   | /order/1?x=1    |
      | POST   | /stream/once/1  |

  Scenario Outline: A request that another node may have run is not said to be not run
    Given a zone with two nodes, and another one whose node reaches no worker
    When every worker has the fault <fault>, and a client sends POST /order/1 to it
    Then it gets status <status>, and the order ran once

    Examples:
      | fault     | status |
      | silent    | 504    |
      | error     | 500    |
      | truncated | 502    |

  Scenario: A caller that leaves ends the work at the worker that another node uses
    Given a zone with two nodes, and another one whose node reaches no worker
    When a client leaves it during a stream
    Then the worker's run ends within half a second

  Scenario: A node that reaches upstreams again sends requests to them itself
    Given a zone with two nodes, and another one whose node reaches no worker
    When its links are back
    Then it sends requests to the workers itself within 2 s

  Scenario: Requests are refused while no node reaches an upstream
    Given a zone with two nodes, and another one whose node reaches no worker
    When the other nodes lose their links too
    Then a client of each node gets status 503 within 1.5 s

  Scenario Outline: Which nodes serve the requests of a node that reaches no upstream
    Given a node in zone a of the cell <cell>
    When the other nodes are <nodes>
    Then it may ask <asked>

    Examples: nodes by name, those in zone b begin with b; `-` means cut off, `?` not heard
      | cell | nodes                  | asked       |
      | a b  | a1, a2, b1             | a1 a2       |
      | a b  | a1, a2-, b1            | a1 b1       |
      | a b  | a1-, a2-, b1, b2-      | b1          |
      | a b  | a1, a2, a3-, b1        | a1 a2       |
      | a b  | a1?, b1                | b1          |
      | a b  | a1-, b1?               | none        |
      | a    | a1-, a2-, b1?, b2?     | b1 b2       |
      | a    | a1, a2-, a3-, b1?      | a1 b1       |
      | a    | a1, a2, a3-, b1?       | a1 a2       |

  Scenario Outline: When a node counts as cut off from the upstreams of a service
    Given upstreams a1, a2, a3 in zone a and b1 in zone b, and m1 of another service
    When these events come at a node of zone a: <events>
    Then it <is> cut off

    Examples:
      | events                                 | is     |
      | a1 fails, a2 fails, b1 fails           | is     |
      | a1 fails, a2 fails, b1 fails, m1 is reached | is     |
      | m1 fails, a1 fails, a2 fails           | is not |
      | a1 fails, a1 fails, b1 fails           | is not |
      | a1 fails, a2 fails                     | is not |
      | a1 fails, b1 fails, a3 is reached, a2 fails | is not |
      | a1 fails, a2 fails, b1 is reached, b1 fails | is not |
      | a1 fails, a2 fails, b1 fails, a3 is reached | is not |
      | a1 fails, a2 fails, b1 fails, b1 is reached, b1 fails | is not |
      | a1 fails, a2 fails, b1 fails, b1 is reached, a1 fails, a3 fails, b1 fails | is |
