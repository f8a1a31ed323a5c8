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
