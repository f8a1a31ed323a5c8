Feature: Retries, staleness, event splitting, partitions and outlier detection

  Scenario Outline: Action after a failed attempt
    Given a <kind> request with <runs> runs and <declined> declined attempts
    When its attempt ends with <failure>, <budget> the retry budget
    Then the action is <action>

    Examples:
      | kind         | runs | declined | failure       | budget | action     |
      | idempotent   | 0    | 0        | not delivered | within | send again |
      | idempotent   | 0    | 0        | not delivered | beyond | send again |
      | idempotent   | 0    | 1        | declined      | within | send again |
      | idempotent   | 0    | 1        | declined      | beyond | refuse     |
      | idempotent   | 0    | 5        | declined      | within | refuse     |
      | idempotent   | 1    | 1        | declined      | beyond | fail       |
      | idempotent   | 1    | 0        | lost          | within | send again |
      | idempotent   | 1    | 0        | lost          | beyond | fail       |
      | idempotent   | 2    | 0        | lost          | within | fail       |
      | idempotent   | 1    | 0        | failed        | within | send again |
      | idempotent   | 2    | 0        | failed        | within | pass on    |
      | at most once | 0    | 0        | not delivered | within | send again |
      | at most once | 0    | 1        | declined      | within | send again |
      | at most once | 1    | 0        | lost          | within | fail       |
      | at most once | 1    | 0        | failed        | within | pass on    |
      | resumable    | 1    | 0        | lost          | within | send again |
      | stream       | 1    | 0        | lost          | within | fail       |

  Scenario Outline: A prompt is retried while its helpers are excluded one by one
    Given a resumable request with 0 runs and <declined> declined attempts
    And helpers caused <helper_faults> of the declines
    When its attempt ends with declined, within the retry budget
    Then the action is <action>

    Examples:
      | declined | helper_faults | action     |
      | 4        | 0             | send again |
      | 5        | 0             | refuse     |
      | 6        | 6             | send again |
      | 12       | 8             | send again |
      | 9        | 9             | refuse     |
      | 13       | 8             | refuse     |

  Scenario: No time is left for another attempt
    Given a idempotent request with 1 runs and 0 declined attempts
    When its attempt ends with lost and 0.01 s are left
    Then the action is fail

  # An older event or an error page became a part of a stream that was continued.
  Scenario Outline: Whether an answer continues a stream
    When a stream that broke off after event <last> is followed by "<events>"
    Then the second answer <effect>

    Examples:
      | last | events                     | effect            |
      | 2    | id: 3\ndata: x             | continues it      |
      | 9    | data: x\nid: 10            | continues it      |
      | 09   | id: 10\ndata: x            | continues it      |
      | 2    | id: 2\ndata: x             | is another answer |
      | 10   | id: 9\ndata: x             | is another answer |
      | b    | id: a\ndata: x             | continues it      |
      | b    | id: b\ndata: x             | is another answer |
      | 2    | <p>out of order</p>        | is another answer |
      | 2    | data: out of order         | is another answer |
      | 2    | : still here               | continues it      |

  # A request that was taken late in a stop was ended by it although its caller had time.
  Scenario Outline: A request that arrives while a node stops
    When a request with a limit of <limit> s arrives <arrival> s after the signal to stop within <grace> s
    Then the stopping node <effect>

    Examples:
      | grace | arrival | limit | effect     |
      | 8     | 0       | 10    | takes it   |
      | 8     | 2.5     | 10    | takes it   |
      | 8     | 2.6     | 10    | refuses it |
      | 8     | 2.6     | 4     | takes it   |
      | 8     | 5       | 2     | refuses it |
      | 20    | 2.6     | 10    | takes it   |
      | 20    | 9       | 10    | refuses it |
      | 4     | 1.4     | 10    | takes it   |
      | 4     | 1.6     | 10    | refuses it |
      | 0.5   | 0       | 10    | takes it   |
      | 0.5   | 0.1     | 10    | refuses it |

  # With a grace period below 7.8 s, running requests were ended before its last sixth.
  Scenario Outline: Running requests are ended in the last sixth of the grace period
    Then a node that must stop within <grace> s ends requests in the last sixth of that

    Examples:
      | grace |
      | 0.5   |
      | 4     |
      | 6     |
      | 8     |
      | 20    |
      | 60    |

  Scenario Outline: Staleness of a configuration by the age of its confirmation
    Given limits of 2.6 s to deny and 4.5 s to serve
    When the configuration was confirmed <age> s ago
    Then its staleness is <staleness>

    Examples:
      | age | staleness |
      | 0.1 | current   |
      | 2.5 | current   |
      | 2.7 | doubtful  |
      | 4.4 | doubtful  |
      | 4.6 | stale     |

  Scenario: Without any confirmation the staleness is unknown
    Given limits of 2.6 s to deny and 4.5 s to serve
    Then its staleness is unknown

  Scenario Outline: Retries stay within a node's part of the retry budget
    Given a budget of 0.2 a request and 100 in 10 s, for <nodes> nodes
    When <requests> requests and <retries> retries came within the window
    Then another retry is <answer>

    Examples:
      | nodes | requests | retries | answer  |
      | 1     | 0        | 68      | allowed |
      | 1     | 0        | 70      | refused |
      | 10    | 0        | 5       | allowed |
      | 10    | 0        | 7       | refused |
      | 10    | 100      | 18      | allowed |
      | 10    | 100      | 21      | refused |

  Scenario: The retry window slides
    Given a budget of 0.2 a request and 100 in 10 s, for 10 nodes
    When 0 requests and 7 retries came within the window
    And 11 s pass
    Then another retry is allowed

  Scenario Outline: Events are split independently of how the bytes arrive
    When a stream of 3 events with <ending> arrives in pieces of <size> bytes
    Then 3 complete events with their ids are returned

    Examples:
      | ending | size |
      | lf     | 1    |
      | lf     | 7    |
      | lf     | 1000 |
      | crlf   | 1    |
      | crlf   | 5    |
      | crlf   | 1000 |

  Scenario: An incomplete event is not passed on
    When a stream ends within its third event
    Then 2 complete events are returned and the rest is buffered

  Scenario Outline: Whether a zone is likely partitioned
    Given <upstreams> upstreams of a zone, <unreachable> unreachable since one was reached
    When its peers send updates each <interval> s, the last ones <ages> s ago
    Then the zone is likely <state>

    Examples:
      | upstreams | unreachable | interval | ages    | state       |
      | 5         | 0           | 0.2      | 0.1 0.2 | connected   |
      | 5         | 1           | 0.2      | 0.1 0.2 | connected   |
      | 5         | 2           | 0.2      | 0.1 0.2 | partitioned |
      | 1         | 1           | 0.2      | 0.1     | partitioned |
      | 5         | 0           | 0.2      | 0.8 0.9 | partitioned |
      | 5         | 0           | 0.2      | 0.8 0.1 | connected   |
      | 5         | 0           | 0.2      | 0.9     | connected   |
      | 5         | 0           | 0.2      | 60 70   | connected   |
      | 5         | 0           | 4.8      | 4.5 4.6 | connected   |
      | 5         | 0           | 4.8      | 18 19   | partitioned |

  Scenario Outline: A zone of which some upstreams ended is not taken for partitioned
    Given a node of zone north, and 27 upstreams in zone east
    When that node <events>
    Then <count> upstreams of zone east are avoided, and at most <probes> probed at a time

    Examples:
      | events                                                       | count | probes |
      | reaches u1                                                   | 0     | 0      |
      | fails to reach u1                                            | 1     | 1      |
      | fails to reach u1, reaches u3, fails to reach u2             | 2     | 2      |
      | fails to reach u1, fails to reach u2                         | 27    | 2      |
      | fails to reach u1, fails to reach u2, reaches u3             | 2     | 2      |
      | fails to reach u1, fails to reach u2, reaches u1, reaches u2 | 2     | 0      |

  Scenario Outline: The probes of an upstream do not grow with the nodes of a cell
    Given a cell of <nodes> nodes that can't reach an upstream
    Then all of them together probe it at most <most> times in 100 intervals

    Examples:
      | nodes | most |
      | 1     | 100  |
      | 9     | 900  |
      | 39    | 1100 |
      | 195   | 1100 |

  Scenario Outline: Upstreams are ejected by the results of attempts
    Given a service with <count> upstreams
    When the results are that <events>
    Then the ejected upstreams are <ejected>

    Examples:
      | count | events                         | ejected  |
      | 4     | u1 is lost                     | u1       |
      | 4     | u1 is silent                   | none     |
      | 4     | u1 is silent four times        | u1       |
      | 4     | u1 answers a failure           | none     |
      | 4     | u1 fails four times            | u1       |
      | 4     | u1 u2 u3 are lost              | none     |
      | 4     | u1 u2 u3 are unreachable       | u1 u2 u3 |
      | 4     | u1 is lost and 5 s pass        | none     |
      | 4     | u1 is unreachable and 5 s pass | u1       |
