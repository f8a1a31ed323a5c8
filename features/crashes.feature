Feature: Requests that crash their upstreams are refused for a while

  Scenario Outline: What makes a request refused
    Given a node's book of crashes
    When these events come: <events>
    Then the request "bad" is <standing>

    Examples:
      | events                                                          | standing    |
      | bad breaks on 1, 1 gone, bad breaks on 2, 2 gone                | served      |
      | bad breaks on 1, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3 | served    |
      | bad breaks on 1, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3, 3 gone | refused |
      | bad breaks on 1, bad breaks on 2, bad breaks on 3, 1 gone, 2 gone, 3 gone | refused |
      | bad breaks on 1, 1 gone, bad breaks on 1, 1 gone, 1 gone        | served      |
      | 1 gone, 2 gone, 3 gone                                          | served      |
      | bad breaks on 1, 1 alive, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3, 3 gone | served |
      | bad breaks on 1, 7 s pass, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3, 3 gone | served |
      | bad breaks on 1, 1 gone, bad breaks on 2, 2 gone, peer tells of 3 | refused   |
      | peer tells of 1, peer tells of 2, peer tells of 3               | refused     |
      | peer tells of 1, peer tells of 2, bad is answered, peer tells of 3 | served   |
      | bad breaks on 1, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3, 3 gone, 59 s pass | refused |
      | bad breaks on 1, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3, 3 gone, 61 s pass | served |
      | good breaks on 1, bad breaks on 1, 1 gone, bad breaks on 2, 2 gone, bad breaks on 3, 3 gone | refused |

  Scenario Outline: A request goes to another upstream until its sends broke off at three
    Given a node's book of crashes
    When these events come: <events>
    Then "bad" <may> be sent again

    Examples:
      | events                                                     | may     |
      | bad breaks on 1, bad breaks on 2                           | may     |
      | bad breaks on 1, 1 gone, bad breaks on 2, bad breaks on 3  | may not |
      | bad breaks on 1, 1 gone, bad breaks on 1, bad breaks on 1  | may     |
      | good breaks on 1, good breaks on 2, good breaks on 3       | may     |

  Scenario: Peers are told of a crash for a second
    Given a node's book of crashes
    When these events come: bad breaks on 1, 1 gone
    Then peers are told of 1 crashes
    When these events come: 2 s pass
    Then peers are told of 0 crashes

  Scenario: The book is bounded, and the newest crashes are kept
    Given a node's book of crashes
    When 2000 requests are in a crash, and then bad in 3
    Then the book holds 1000 crashes at most, and tells peers of 100 at most
    And the request "bad" is refused

  Scenario Outline: Which requests are alike
    Given a request to /a with the body x for the account mills
    When another one <differs>
    Then they are <alike>

    Examples:
      | differs                      | alike     |
      | has another attempt identity | alike     |
      | has another key              | alike     |
      | goes to /b                   | not alike |
      | has the body y               | not alike |
      | is for the account shops     | not alike |
