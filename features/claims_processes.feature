Feature: Calls that run at most once, with real processes

  Scenario Outline: A <method> call whose service <fault> is sent once by the client
    Given a shared fleet of 2 nodes and 1 order service
    When the order service <fault> during a <method> call without a key
    Then the service has executed that call <runs> times and the caller received <outcome>

    Examples:
      | method | fault                 | runs | outcome |
      | PUT    | cuts after execution  | 1    | unknown |
      | DELETE | cuts after execution  | 1    | unknown |
      | POST   | cuts after execution  | 1    | unknown |
      | PUT    | cuts before execution | 0    | unknown |
      | PUT    | refuses               | 0    | not-run |

  Scenario Outline: A node is <fault> while an order runs
    Given a separate fleet of 2 nodes and 1 order service
    When the first node is <fault> while an order of 3 seconds runs
    Then the same order at the second node returns <codes>
    And the service has 1 execution of that order

    Examples:
      | fault             | codes                         |
      | killed            | in_progress, outcome_unknown  |
      | suspended and resumed  | in_progress, replayed         |

  Scenario: A caller that disconnects gets its stored answer with a resend
    Given a shared fleet of 2 nodes and 1 order service
    When a caller disconnects during its order of 1 seconds and resends it
    Then it receives the stored answer, and the service has 1 execution of that order

  Scenario: The platform is down when an order arrives, and then after its dispatch
    Given a separate fleet of 2 nodes and 1 order service
    When the platform is down, an order is refused as not run within 2 seconds
    And the platform fails during an order of 1 seconds, which is answered nevertheless
    Then both orders have 1 execution each when resent after the outage

  Scenario: An answer longer than the service's limit is not relayed
    Given a shared fleet of 2 nodes and 1 order service
    When an order's answer exceeds the limit
    Then the order fails with upstream_failed and outcome unknown, also when resent

  Scenario: A node that is stopped finishes its running order first
    Given a separate fleet of 2 nodes and 1 order service
    When the first node is stopped while an order of 1 seconds runs
    Then that order is answered, the node exits with 0, and a resend is replayed
