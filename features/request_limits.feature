Feature: Upstreams limit the requests of all nodes together

  # Two engines that had named limits of about 1 request a second got 3 a second, as before.
  # Allowed are 1.5 times the limit and 5 more.
  Scenario Outline: An upstream that names a limit gets no more requests from all nodes
    Given <nodes> nodes on the platform with two workers for each service
    When d1 names a limit of <limit>, and <rate> requests a second are sent for 9 s
    Then every request is answered with 200
    And d1 got at most <most> requests in any 4 s from 3 s on, and at least <least> in all

    Examples:
      | nodes | limit | rate | most | least |
      | 1     | 1     | 12   | 11   | 5     |
      | 3     | 1     | 12   | 11   | 5     |
      | 3     | 0.5   | 12   | 8    | 2     |
      | 6     | 2     | 16   | 17   | 9     |

  Scenario: Requests beyond the limits of all upstreams are refused at once
    Given 3 nodes on the platform with two workers for each service
    When d1 and d2 name a limit of 1, and 12 requests a second are sent for 9 s
    Then d1 got at most 11 requests in any 4 s from 3 s on, and at least 5 in all
    And d2 got at most 11 requests in any 4 s from 3 s on, and at least 5 in all
    And the other requests are refused with 503 and a Retry-After within 0.3 s

  Scenario Outline: The nodes of a cell share a limit
    Given a cell of <nodes> nodes with <demand> requests a second each, of whose messages <loss> of 100 are lost
    When an upstream names a limit of <limit>, and <fault>, for 60 s and 3 seeds
    Then in any 4 s the upstream got at most 1.5 times the limit and 5 more
    And it got at least <share> of the limit, and at most 1.2 times the limit and 3 for each node

    Examples:
      | nodes | demand | loss | limit | fault                                | share |
      | 1     | 5      | 0    | 1     | nothing happens                      | 0.8   |
      | 9     | 3      | 0    | 1     | nothing happens                      | 0.8   |
      | 9     | 3      | 5    | 0.3   | nothing happens                      | 0.8   |
      | 9     | 3      | 5    | 12    | nothing happens                      | 0.7   |
      | 39    | 1      | 5    | 1     | nothing happens                      | 0.7   |
      | 39    | 3      | 5    | 20    | nothing happens                      | 0.7   |
      | 39    | 1      | 5    | 20    | nothing happens                      | 0.4   |
      | 9     | 3      | 5    | 1     | a sender is killed each 5 s          | 0.5   |
      | 39    | 1      | 5    | 3     | a sender is killed each 5 s          | 0.5   |
      | 9     | 3      | 5    | 1     | all nodes are killed each 20 s       | 0.5   |
      | 39    | 1      | 5    | 1     | half of the nodes are killed each 20 s | 0.5   |
      | 9     | 3      | 5    | 0     | nothing happens                      | 0     |

  Scenario Outline: What an upstream last said of its limit is in force
    Given a node to which an upstream says <own> of its limit
    When a peer was told <other> of it <age> s before, at time 10
    Then the limit is <limit> requests a second, and <statements> is sent to peers

    Examples:
      | own              | other   | age | limit | statements |
      | nothing          | 2       | 1   | 2     | nothing    |
      | nothing          | nothing | 1   | none  | nothing    |
      | 5: 3             | 2       | 1   | 2     | nothing    |
      | 5: 3             | 2       | 6   | 3     | 3          |
      | 5: 3, 7: none    | nothing | 1   | none  | none       |
      | 5: 3, 7: none    | 2       | 4   | none  | none       |
      | 5: 3, 7: damaged | nothing | 1   | 3     | 3          |
