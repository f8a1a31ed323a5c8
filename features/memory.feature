Feature: Engines leak no memory

  Scenario Outline: The reaper frees only holdings that cannot be in use
    Given a holding of <owner>, <age> s old, that expires in <expires> s
    And the reaper's node uses the holding: <used>
    When the reaper checks the holding
    Then the verdict of the reaper is "<verdict>"

    Examples:
      | owner            | age  | expires | used | verdict                     |
      | the node itself  | 5    | 60      | yes  | keep                        |
      | the node itself  | 60   | 60      | yes  | keep                        |
      | the node itself  | 5    | 60      | no   | keep                        |
      | the node itself  | 60   | 60      | no   | not in flight at its owner  |
      | the node itself  | 60   | -3      | yes  | keep                        |
      | the node itself  | 60   | -6      | yes  | past its expiry             |
      | its predecessor  | 1    | 60      | no   | its owner was restarted     |
      | its predecessor  | 60   | -6      | no   | past its expiry             |
      | its successor    | 60   | 60      | no   | keep                        |
      | a live peer      | 1    | 60      | no   | keep                        |
      | a live peer      | 3600 | 60      | no   | keep                        |
      | a live peer      | 3600 | -6      | no   | past its expiry             |
      | a silent peer    | 1    | 60      | no   | keep                        |
      | a silent peer    | 3600 | 60      | no   | keep                        |
      | a silent peer    | 3600 | -6      | no   | past its expiry             |
      | a restarted peer | 1    | 60      | no   | its owner was restarted     |
      | a restarted peer | 3600 | 60      | no   | its owner was restarted     |
      | a removed peer   | 1    | 60      | no   | the VM of its owner is gone |
      | an unknown VM    | 3600 | 60      | no   | keep                        |
      | an unknown VM    | 3600 | -6      | no   | past its expiry             |
      | an invalid owner | 3600 | 60      | no   | keep                        |
      | an invalid owner | 3600 | -6      | no   | past its expiry             |

  Scenario Outline: A VM is removed only after it is unlisted and silent for the grace period
    When at each second of the reaper's clock the VM is <states>
    Then the reaper treats the VM as removed: <removed>

    Examples: a letter for each 5 seconds; L listed, A alive, S neither
      | states  | removed |
      | LLLLL   | no      |
      | AAAAA   | no      |
      | SSS     | no      |
      | SSSS    | yes     |
      | SSSSS   | yes     |
      | SSSASSS | no      |
      | SSSLSSS | no      |
      | ASSSSS  | yes     |

  Scenario: The engines of a cell are divided among its nodes
    When 8 nodes sweep 56 engines for 300 s
    Then each engine is swept by one node at least every 10 s
    And each node has swept every engine within 10 s of its start
    And each node sweeps at most 8 engines at once and 3 a second on average

  Scenario Outline: A release is repeated until it is confirmed
    Given an engine on which <fault>
    When a release is submitted and <event>
    Then the engine's release is <end>

    Examples:
      | fault                           | event                           | end                       |
      | every call works                | 1 s pass                        | confirmed after 1 calls   |
      | the replies of 2 calls are lost | 1 s pass                        | confirmed after 3 calls   |
      | 2 calls are not sent            | 1 s pass                        | confirmed after 3 calls   |
      | 2 calls time out                | 1 s pass                        | confirmed after 3 calls   |
      | 2 calls fail in the engine      | 1 s pass                        | confirmed after 3 calls   |
      | the replies of 2 calls are lost | the node stops at once          | confirmed after 3 calls   |
      | 999 calls are not sent          | its expiry passes               | left to expire            |
      | 999 calls are not sent          | the drain of the node times out | left pending and reported |

  Scenario: Connections are dropped after a release times out
    Given an engine on which 1 calls time out
    When a release is submitted and 1 s pass
    Then the pooled connections of the engine were dropped 1 times

  @fuzz
  Scenario: After any sequence of faults each engine holds only the memory in use
    Then the state machine of holdings, reaper and node faults finds no failure
