Feature: No engine loses memory

  Scenario Outline: The reaper frees only what surely nobody uses
    Given a holding of <owner>, <age> s old, that expires in <expires> s
    And the reaper's node uses the name: <used>
    When the reaper judges the holding
    Then the reaper answers "<verdict>"

    Examples:
      | owner               | age  | expires | used | verdict                    |
      | the node itself     | 5    | 60      | yes  | keep                       |
      | the node itself     | 60   | 60      | yes  | keep                       |
      | the node itself     | 5    | 60      | no   | keep                       |
      | the node itself     | 60   | 60      | no   | not in flight at its owner |
      | the node itself     | 60   | -3      | yes  | keep                       |
      | the node itself     | 60   | -6      | yes  | past its expiry            |
      | its predecessor     | 1    | 60      | no   | its owner was restarted    |
      | its predecessor     | 60   | -6      | no   | past its expiry            |
      | its successor       | 60   | 60      | no   | keep                       |
      | a live peer         | 1    | 60      | no   | keep                       |
      | a live peer         | 3600 | 60      | no   | keep                       |
      | a live peer         | 3600 | -6      | no   | past its expiry            |
      | a silent peer       | 1    | 60      | no   | keep                       |
      | a silent peer       | 3600 | 60      | no   | keep                       |
      | a silent peer       | 3600 | -6      | no   | past its expiry            |
      | a restarted peer    | 1    | 60      | no   | its owner was restarted    |
      | a restarted peer    | 3600 | 60      | no   | its owner was restarted    |
      | a peer that is gone | 1    | 60      | no   | the VM of its owner is gone |
      | an unknown VM       | 3600 | 60      | no   | keep                       |
      | an unknown VM       | 3600 | -6      | no   | past its expiry            |
      | no readable owner   | 3600 | 60      | no   | keep                       |
      | no readable owner   | 3600 | -6      | no   | past its expiry            |

  Scenario Outline: A VM is gone only when it stays both unlisted and silent
    When at each second of the reaper's clock the VM is <seen>
    Then the reaper takes the VM as gone: <gone>

    Examples: a letter for each 5 seconds; L listed, A alive, S neither
      | seen    | gone |
      | LLLLL   | no   |
      | AAAAA   | no   |
      | SSS     | no   |
      | SSSS    | yes  |
      | SSSSS   | yes  |
      | SSSASSS | no   |
      | SSSLSSS | no   |
      | ASSSSS  | yes  |

  Scenario: The engines of a cell are shared out among its nodes
    When 8 nodes sweep 56 engines for 300 s
    Then each engine is looked at by one node at least every 10 s
    And each node has looked at every engine within 10 s of its start
    And each node looks at 8 engines at most in one sweep and at 3 a second on average

  Scenario Outline: A release is repeated until it is confirmed
    Given an engine on which <fault>
    When a release is submitted and <event>
    Then the engine's release is <end>

    Examples:
      | fault                             | event                      | end                          |
      | every call works                  | 1 s pass                   | confirmed after 1 calls      |
      | the replies of 2 calls are lost   | 1 s pass                   | confirmed after 3 calls      |
      | 2 calls find nobody               | 1 s pass                   | confirmed after 3 calls      |
      | 2 calls stay silent               | 1 s pass                   | confirmed after 3 calls      |
      | 2 calls fail inside               | 1 s pass                   | confirmed after 3 calls      |
      | the replies of 2 calls are lost   | the node stops at once     | confirmed after 3 calls      |
      | 999 calls find nobody             | its expiry passes          | left to expire               |
      | 999 calls find nobody             | the node stops impatiently | left pending, and said so    |

  Scenario: A silent connection is not used again for a release
    Given an engine on which 1 calls stay silent
    When a release is submitted and 1 s pass
    Then the pooled connections of the engine were dropped 1 times

  @fuzz
  Scenario: After any sequence of faults each engine's memory is what its live work holds
    Then the state machine of memory, reaper and dying nodes finds no fault
