Feature: An accepted configuration takes effect everywhere and never reverts

  Scenario Outline: <fault> at "<step>" of a change
    Given 3 simulated nodes with change 1 in force
    When change 2 is applied with fault "<fault>" at "<step>"
    Then the operator of change 2 gets <result>
    And after the faults the row's change is in force on every node
    And change 2 applied again is in force on every node

    Examples:
      | step                     | fault                                  | result       |
      | operator blob put        | platform down                          | not accepted |
      | operator blob put        | object store down                      | not accepted |
      | operator blob put        | reply lost                             | accepted     |
      | operator blob put        | concurrent operator                    | lost race    |
      | operator blob put reply  | platform down                          | not accepted |
      | operator row read        | platform down                          | not accepted |
      | operator row read        | reply lost                             | not accepted |
      | operator row read        | concurrent operator                    | accepted     |
      | operator row read        | node replaced                          | accepted     |
      | operator row write       | platform down                          | undecided    |
      | operator row write       | reply lost                             | accepted     |
      | operator row write       | write delayed                          | accepted     |
      | operator row write       | concurrent operator                    | lost race    |
      | operator row write       | zone cut off                           | accepted     |
      | operator row write reply | platform down                          | undecided    |
      | operator row write reply | object store down                      | accepted     |
      | operator row write reply | reply lost                             | accepted     |
      | operator row write reply | concurrent operator                    | accepted     |
      | operator row write reply | reply lost and concurrent operator     | accepted     |
      | operator row write reply | node replaced                          | accepted     |
      | operator row write reply | zone cut off                           | accepted     |
      | node row read            | platform down                          | accepted     |
      | node row read            | reply lost                             | accepted     |
      | node row read            | stale reply                            | accepted     |
      | node row read            | concurrent operator                    | accepted     |
      | node row read            | node replaced                          | accepted     |
      | node row read            | zone cut off                           | accepted     |
      | node blob get            | platform down                          | accepted     |
      | node blob get            | object store down                      | accepted     |
      | node blob get            | reply lost                             | accepted     |
      | node blob get            | stale reply                            | accepted     |
      | node blob get            | concurrent operator                    | accepted     |
      | node blob get            | node replaced                          | accepted     |
      | node blob get            | zone cut off                           | accepted     |
      | node row read            | stale reply and newer change from peer | accepted     |

  Scenario: Applying again settles a change whose write was delayed
    Given 3 simulated nodes with change 1 in force
    When change 2 stays undecided and its write is applied late
    And change 2 is applied again
    Then it was accepted exactly once

  Scenario: A lost race reports both changes
    Given 3 simulated nodes with change 1 in force
    When change 2 is applied with fault "concurrent operator" at "operator row write"
    Then the losing operator gets its own change and the other one

  Scenario Outline: A replaced node finds the greatest version although <missing>
    Given 3 simulated nodes with change 1 in force
    And change 2 is in force in all zones except one that was cut off
    When <missing> and a node that had change 2 is replaced
    Then it adopts change 2 from a peer and never change 1

    Examples:
      | missing                  |
      | the platform is down     |
      | the object store is down |

  Scenario: An unavailable object store costs one timeout, not one for each part
    Given 3 simulated nodes with change 1 in force
    When a node is replaced while the object store is down
    Then it called the object store once and got the parts from a peer

  Scenario: A node without configuration reports that and the reason
    Given 3 simulated nodes without configuration
    When the platform is down while a node polls
    Then that node has version 0 and reports that the table was not read

  Scenario Outline: A configuration that is <defect> is refused and the old one stays
    Given 3 simulated nodes with change 1 in force
    When a row names a configuration that is <defect>
    Then change 1 stays in force and the nodes report <reason>
    And the next good change is in force on every node

    Examples:
      | defect               | reason       |
      | invalid for the site | nowhere      |
      | missing              | not read     |
      | other than accepted  | digest       |
      | unreadable           | not readable |

  @fuzz
  Scenario: Random configuration changes match the accepted rows
    When configuration changes are fuzzed with 100 examples
    Then no version decreased and the accepted change is in force everywhere

  Scenario: A change reaches every node, and a replaced one while the platform is down
    Given a running fleet of 3 nodes in 3 zones with a configuration
    When the platform goes down and one of these nodes is replaced
    Then the replaced node becomes ready with the configuration of its peers
    When the platform is back and a change of 21000 accounts is applied
    Then every one of these nodes has it in force and answered health checks throughout
