Feature: At most once, in real processes

  Scenario Outline: A <method> call whose service <fault> is sent once by the client
    Given the order desk's fleet of 2 nodes and 1 service
    When the order desk <fault> during a <method> call without a key
    Then the service counted <runs> of that call, and the caller was told <outcome>

    Examples:
      | method | fault                 | runs | outcome |
      | PUT    | cuts after execution  | 1    | unknown |
      | DELETE | cuts after execution  | 1    | unknown |
      | POST   | cuts after execution  | 1    | unknown |
      | PUT    | cuts before execution | 0    | unknown |
      | PUT    | refuses               | 0    | not-run |

  Scenario Outline: A node is <fault> while an order runs
    Given an order desk's fleet of its own, of 2 nodes and 1 service
    When the first node is <fault> while an order of 3 seconds runs
    Then the same order at the second node is told <codes>
    And the service counted 1 of that order

    Examples:
      | fault             | codes                         |
      | killed            | in_progress, outcome_unknown  |
      | frozen and woken  | in_progress, replayed         |

  Scenario: A caller that leaves finds its answer when it comes back
    Given the order desk's fleet of 2 nodes and 1 service
    When a caller leaves while its order of 1 seconds runs, and comes back
    Then it gets the stored answer, and the service counted 1 of that order

  Scenario: The platform is down when an order arrives, and then after its dispatch
    Given an order desk's fleet of its own, of 2 nodes and 1 service
    When the platform is down, an order is refused as not run within 2 seconds
    And the platform fails during an order of 1 seconds, which is answered all the same
    Then both orders come to 1 execution each when sent again after the outage

  Scenario: An answer longer than the service's limit is not relayed
    Given the order desk's fleet of 2 nodes and 1 service
    When an order's answer exceeds the limit
    Then the order is told upstream_failed with outcome unknown, and again when resent

  Scenario: A node that is stopped finishes its running order first
    Given an order desk's fleet of its own, of 2 nodes and 1 service
    When the first node is stopped while an order of 1 seconds runs
    Then that order is answered, the node exits with 0, and a resend is replayed
