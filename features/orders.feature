Feature: Orders to upstreams by one lease holder

  Scenario Outline: A holder paused at its <step> resumes after its lease; upstreams check: <check>
    Given 2 nodes that desire v1 and v2, and 1 engine that checks fencing: <check>
    When the first holds the lease and is paused at its <step> past the lease
    And the second has acquired the lease and the engine has loaded v2
    And the first resumes
    Then the engine started <loads> loads and has v2 after 5 seconds

    Examples:
      | step   | check | loads |
      | ticket | yes   | 1     |
      | ticket | no    | 1     |
      | order  | yes   | 1     |
      | order  | no    | 3     |

  Scenario Outline: The lease under <fault>
    Given 2 nodes that desire v1 and v1, and 1 engine that checks fencing: yes
    When the platform has the fault <fault> while both nodes run for 30 seconds
    Then <holders> node holds the lease, and the engine has <version>

    Examples:
      | fault      | holders | version |
      | none       | 1       | v1      |
      | reply lost | 1       | v1      |
      | down       | 0       | nothing |

  Scenario: The platform goes down while a node holds the lease
    Given 2 nodes that desire v1 and v1, and 1 engine that checks fencing: no
    When both run for 5 seconds, then the platform is down and v2 is desired
    Then no order is sent in 60 seconds, and v2 is reached after the outage

  Scenario: A node that stops releases the lease immediately
    Given 2 nodes that desire v1 and v1, and 1 engine that checks fencing: yes
    When the first holds the lease and stops
    Then the second holds it after 4 seconds with a greater fencing number

  Scenario: A late reply does not extend the lease
    Given 2 nodes that desire v1 and v1, and 1 engine that checks fencing: no
    When the reply to the first node's lease write arrives 7 seconds late
    Then it may send for 1 more second, and the second may write after 12 seconds

  Scenario: A new version is rolled out a few at a time within the weight store's rate
    Given 40 engines that take 5 seconds to load, and 2 tickets a second
    When one node desires a new version
    Then all have it within 120 seconds, at most 4 at a time and 2 loads a second

  @fuzz
  Scenario: Random interleavings of three nodes over one lease row
    Then at most one node may send orders in 200 random runs of 50 steps

  Scenario: Engines reach the desired state, in real processes
    Given a fleet of 2 nodes and 2 engines that take 1 second to load
    When an operator desires version 7 of the model
    Then the holder reports both engines as reached
    When the holder is stopped and an operator desires version 8 of the model
    Then the holder reports both engines as reached
