Feature: Requests that crash their upstreams are quarantined

  Scenario Outline: Which events quarantine a request
    Given the crash tracker of a node
    When these events come: <events>
    Then the request "bad" is <result>

    Examples:
      | events                                                                                     | result  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended                                           | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3                           | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended                  | refused |
      | bad fails on 1, bad fails on 2, bad fails on 3, 1 ended, 2 ended, 3 ended                  | refused |
      | bad fails on 1, 1 ended, bad fails on 1, 1 ended, 1 ended                                  | served  |
      | 1 ended, 2 ended, 3 ended                                                                  | served  |
      | bad fails on 1, 1 running, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended       | served  |
      | bad fails on 1, 7 s pass, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended        | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, peer reports crash 3                     | refused |
      | peer reports crash 1, peer reports crash 2, peer reports crash 3                           | refused |
      | peer reports crash 1, peer reports crash 2, bad is answered, peer reports crash 3          | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended, 59 s pass       | refused |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended, 61 s pass       | served  |
      | good fails on 1, bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended | refused |

  Scenario Outline: A request is retried until its attempts failed on three upstreams
    Given the crash tracker of a node
    When these events come: <events>
    Then "bad" <may> be retried

    Examples:
      | events                                                  | may     |
      | bad fails on 1, bad fails on 2                          | may     |
      | bad fails on 1, 1 ended, bad fails on 2, bad fails on 3 | may not |
      | bad fails on 1, 1 ended, bad fails on 1, bad fails on 1 | may     |
      | good fails on 1, good fails on 2, good fails on 3       | may     |

  Scenario: A crash is sent to peers for a second
    Given the crash tracker of a node
    When these events come: bad fails on 1, 1 ended
    Then 1 crashes are sent to peers
    When these events come: 2 s pass
    Then 0 crashes are sent to peers

  Scenario: The tracker is bounded and keeps the newest crashes
    Given the crash tracker of a node
    When 2000 requests crash an upstream each, and then bad crashes 3
    Then the tracker holds at most 1000 crashes and gossips at most 100
    And the request "bad" is refused

  Scenario Outline: Which requests have the same digest
    Given a request to /a with the body x for the account mills
    When another one <differs>
    Then their digests are <digests>

    Examples:
      | differs                  | digests   |
      | has another request id   | same      |
      | has another key          | same      |
      | goes to /b               | different |
      | has the body y           | different |
      | is for the account shops | different |
