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
