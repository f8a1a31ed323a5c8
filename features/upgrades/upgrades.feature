# Started by hand, as it needs the repository's history:
# python -m behave features/upgrades
Feature: Nodes of an earlier version serve beside nodes of this one

  Scenario Outline: Nodes are replaced one after the other under traffic
    Given <count> nodes on the platform, of version <from>
    When requests are sent for 18 s, and the nodes are replaced by nodes of <to>
    And meanwhile a route is added, an upstream drains, and a zone without upstreams is evacuated
    Then every request is answered, or refused as not run, and at least 95 of 100 are answered
    And no order ran twice
    And the route was served by every node within 3 s
    And the draining upstream got nothing later than 2 s after its row
    And no node ignored a message of another

    Examples: upgrades
      | count | from    | to      |
      | 3     | 80af97c | present |
      | 3     | 9af31e5 | present |
      | 3     | e800da8 | present |
      | 3     | 8a6ee49 | present |

    Examples: roll backs
      | count | from    | to      |
      | 3     | present | 8a6ee49 |
      | 3     | present | 80af97c |

  # Its load updates have another form, which later versions ignore and log: each side
  # places by its own requests only.
  Scenario: Nodes of a version with other messages are replaced under traffic
    Given 3 nodes on the platform, of version 2b2e6d4
    When requests are sent for 18 s, and the nodes are replaced by nodes of present
    And meanwhile a route is added, an upstream drains, and a zone without upstreams is evacuated
    Then every request is answered, or refused as not run, and at least 95 of 100 are answered
    And no order ran twice
    And the route was served by every node within 3 s
    And the draining upstream got nothing later than 2 s after its row
