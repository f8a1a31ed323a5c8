Feature: A planned stop interrupts no request

  Scenario Outline: A stop during a <kind> request finishes it
    Given a running fleet of 2 nodes to be stopped, with a slow engine and service
    When a node is signalled to stop <times> during a <kind> request
    Then it is not ready at once, and its answers close their connections
    And the <kind> request is answered in full and the node exits with 0

    Examples:
      | kind            | times |
      | short           | once  |
      | long            | twice |
      | streamed        | once  |
      | not idempotent  | once  |

  Scenario: All nodes of a zone are restarted one after another under load
    Given a running fleet of 3 nodes to be stopped, with a slow engine and service
    When each node is stopped and replaced in turn while callers send requests
    Then no request failed and every node exited with 0

  Scenario Outline: A stop waits for a running request up to its limit
    Given a listener with a request that runs for 0.5 s
    When it is stopped with a limit of <limit> s
    Then the request is <end>

    Examples:
      | limit | end         |
      | 30    | finished    |
      | 0.05  | interrupted |

  # The rest of the body was dropped, and the connection ended without an answer.
  Scenario Outline: A stop waits for the rest of a request's body
    Given a listener with a request whose body arrives <framing> during 0.5 s
    When it is stopped with a limit of <limit> s
    Then the request is <end>

    Examples:
      | framing     | limit | end         |
      | with length | 5     | finished    |
      | in chunks   | 5     | finished    |
      | in chunks   | 0.05  | interrupted |

  # Connections that were accepted in the same pass of the event loop stayed open without
  # an answer until the process ended.
  Scenario Outline: A stop answers on connections that it finds just made
    Given a listener with a request that runs for 0.05 s
    When <count> callers connect and send it, and it is stopped <passes> passes of the event loop later
    Then each of them is answered

    Examples:
      | count | passes |
      | 3     | 0      |
      | 3     | 1      |
      | 3     | 2      |
      | 3     | 3      |
      | 3     | 4      |

  Scenario Outline: The limit of a stop covers the longest request
    When the longest time_bound of a configuration is <bound> s
    Then a stop waits at least <bound> s, and no library limit is shorter

    Examples:
      | bound |
      | 10    |
      | 7200  |

  Scenario Outline: An address that cannot be listened on is named
    When a node is started with a <listener> address that is <defect>
    Then it exits with status 3 and one line that names the address

    Examples:
      | listener | defect    |
      | listen   | taken     |
      | control  | taken     |
      | listen   | not local |
