Feature: What follows from a failed send, from silence, and from age

  Scenario Outline: What follows from a failed send
    Given a <kind> request that <runs> upstreams ran and <declined> declined
    When its send ends with <failure>, <budget> the retry bound
    Then the sends are decided as <verdict>

    Examples:
      | kind         | runs | declined | failure       | budget | verdict    |
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

  Scenario Outline: A prompt goes on while its helpers are ruled out one by one
    Given a resumable request that 0 upstreams ran and <declined> declined
    And helpers were at fault for <blamed> of the declines
    When its send ends with declined, within the retry bound
    Then the sends are decided as <verdict>

    Examples:
      | declined | blamed | verdict    |
      | 4        | 0      | send again |
      | 5        | 0      | refuse     |
      | 6        | 6      | send again |
      | 12       | 8      | send again |
      | 9        | 9      | refuse     |
      | 13       | 8      | refuse     |

  Scenario: No time is left for another send
    Given a idempotent request that 1 upstreams ran and 0 declined
    When its send ends with lost and 0.01 s are left
    Then the sends are decided as fail

  Scenario Outline: What a node may do on a configuration of some age
    Given limits of 2.6 s to deny and 4.5 s to serve
    When the configuration was confirmed <age> s ago
    Then its standing is <standing>

    Examples:
      | age  | standing |
      | 0.1  | current  |
      | 2.5  | current  |
      | 2.7  | doubtful |
      | 4.4  | doubtful |
      | 4.6  | stale    |

  Scenario: Without any confirmation the standing is unknown
    Given limits of 2.6 s to deny and 4.5 s to serve
    Then its standing is unknown

  Scenario Outline: Repeated sends keep within a node's part of the bound
    Given a bound of 0.2 a request and 100 in 10 s, for <nodes> nodes
    When <requests> requests and <repeats> repeats came within the window
    Then another repeat is <answer>

    Examples:
      | nodes | requests | repeats | answer  |
      | 1     | 0        | 68      | allowed |
      | 1     | 0        | 70      | refused |
      | 10    | 0        | 5       | allowed |
      | 10    | 0        | 7       | refused |
      | 10    | 100      | 18      | allowed |
      | 10    | 100      | 21      | refused |

  Scenario: The window of repeated sends slides
    Given a bound of 0.2 a request and 100 in 10 s, for 10 nodes
    When 0 requests and 7 repeats came within the window
    And 11 s pass
    Then another repeat is allowed

  Scenario Outline: Events are cut from bytes however these arrive
    When a stream of 3 events with <ending> arrives in pieces of <size> bytes
    Then 3 whole events with their ids come out

    Examples:
      | ending | size |
      | lf     | 1    |
      | lf     | 7    |
      | lf     | 1000 |
      | crlf   | 1    |
      | crlf   | 5    |
      | crlf   | 1000 |

  Scenario: The start of an event that broke off is not passed on
    When a stream breaks off within its third event
    Then 2 whole events come out and the rest is kept back

  Scenario Outline: Whether a zone seems to be cut off
    Given <upstreams> upstreams of a zone, <unreachable> out of reach
    When its peers were last heard <heard> s ago
    Then the zone seems <state>

    Examples:
      | upstreams | unreachable | heard   | state   |
      | 5         | 0           | 0.1 0.2 | whole   |
      | 5         | 1           | 0.1 0.2 | whole   |
      | 5         | 2           | 0.1 0.2 | cut off |
      | 1         | 1           | 0.1     | cut off |
      | 5         | 0           | 0.8 0.9 | cut off |
      | 5         | 0           | 0.8 0.1 | whole   |
      | 5         | 0           | 0.9     | whole   |
      | 5         | 0           | 60 70   | whole   |

  Scenario Outline: Upstreams are avoided by the outcomes of sends
    Given a service with <count> upstreams
    When the outcomes are that <events>
    Then the avoided ones are <avoided>

    Examples:
      | count | events                  | avoided |
      | 4     | u1 is lost              | u1      |
      | 4     | u1 is silent            | none    |
      | 4     | u1 is silent four times | u1      |
      | 4     | u1 answers a failure    | none    |
      | 4     | u1 fails four times     | u1      |
      | 4     | u1 u2 u3 are lost       | none    |
      | 4     | u1 u2 u3 are unreachable | u1 u2 u3 |
      | 4     | u1 is lost and 5 s pass | none    |
      | 4     | u1 is unreachable and 5 s pass | u1 |
