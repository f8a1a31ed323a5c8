Feature: An accepted configuration takes effect everywhere and never reverts

  Scenario Outline: <fault> at "<step>" of a change
    Given a world of 3 nodes where change 1 is in force
    When change 2 is accepted and at "<step>" comes <fault>
    Then the operator of change 2 is told <told>
    And after healing the row's change is in force on every node
    And change 2 applied again ends in force on every node

    Examples:
      | step                     | fault          | told         |
      | operator blob put        | platform down  | not accepted |
      | operator blob put        | objects down   | not accepted |
      | operator blob put        | reply lost     | accepted     |
      | operator blob put        | rival operator | lost race    |
      | operator blob put reply  | platform down  | not accepted |
      | operator row read        | platform down  | not accepted |
      | operator row read        | reply lost     | not accepted |
      | operator row read        | rival operator | accepted     |
      | operator row read        | node replaced  | accepted     |
      | operator row write       | platform down  | undecided    |
      | operator row write       | reply lost     | accepted     |
      | operator row write       | held up        | accepted     |
      | operator row write       | rival operator | lost race    |
      | operator row write       | zone cut off   | accepted     |
      | operator row write reply | platform down  | undecided    |
      | operator row write reply | objects down   | accepted     |
      | operator row write reply | reply lost     | accepted     |
      | operator row write reply | rival operator | accepted     |
      | operator row write reply | reply lost and rival operator | accepted |
      | operator row write reply | node replaced  | accepted     |
      | operator row write reply | zone cut off   | accepted     |
      | node row read            | platform down  | accepted     |
      | node row read            | reply lost     | accepted     |
      | node row read            | late reply     | accepted     |
      | node row read            | rival operator | accepted     |
      | node row read            | node replaced  | accepted     |
      | node row read            | zone cut off   | accepted     |
      | node blob get            | platform down  | accepted     |
      | node blob get            | objects down   | accepted     |
      | node blob get            | reply lost     | accepted     |
      | node blob get            | late reply     | accepted     |
      | node blob get            | rival operator | accepted     |
      | node blob get            | node replaced  | accepted     |
      | node blob get            | zone cut off   | accepted     |
      | node row read            | late reply and overtaken | accepted |

  Scenario: A write that was held up and lands late is settled by applying again
    Given a world of 3 nodes where change 1 is in force
    When change 2 stays undecided and its write lands late
    And change 2 is applied again
    Then it was accepted exactly once

  Scenario: A lost race names both changes
    Given a world of 3 nodes where change 1 is in force
    When change 2 is accepted and at "operator row write" comes rival operator
    Then the loser sees its own change and the rival's

  Scenario Outline: A replaced node finds the greatest version although <missing>
    Given a world of 3 nodes where change 1 is in force
    And change 2 is in force everywhere but on a zone that was cut off
    When <missing> and a node that had change 2 is replaced
    Then it takes change 2 from a peer and never change 1

    Examples:
      | missing              |
      | the platform is down |
      | the objects are down |

  Scenario: An object store that hangs costs its timeout once, not for each part
    Given a world of 3 nodes where change 1 is in force
    When a node is replaced while the object store is down
    Then it asked the object store once and took the parts from a peer

  Scenario: A node that knows no configuration says so and why
    Given a world of 3 nodes without configuration
    When the platform is down at a node's look
    Then that node has version 0 and says that the table was not read

  Scenario Outline: A configuration that is <defect> is refused and the old one stays
    Given a world of 3 nodes where change 1 is in force
    When a row names a configuration that is <defect>
    Then change 1 stays in force and the nodes say <reason>
    And the next good change is in force on every node

    Examples:
      | defect                | reason            |
      | bad for the site      | nowhere           |
      | missing               | not read          |
      | not what was accepted | digest            |
      | unreadable            | not readable      |

  @fuzz
  Scenario: Configuration changes are fuzzed against the accepted rows
    When configuration changes are fuzzed with 100 examples
    Then no version fell and the accepted change won everywhere

  Scenario: A change reaches every node, and a replaced one while the platform is down
    Given a running fleet of 3 nodes in 3 zones with a configuration
    When the platform goes down and one of these nodes is replaced
    Then the replaced node becomes ready with the configuration of its peers
    When the platform is back and a change of 21000 accounts is applied
    Then every one of these nodes has it in force and answered health checks throughout
