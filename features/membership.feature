Feature: Membership and gossip between nodes

  Scenario Outline: A digest is applied only if it is newer than the last one
    Given a membership with digest <seq> of run <run> of a VM
    When it receives digest <received seq> of run <received run> of that VM
    Then it holds digest <held seq> of run <held run>

    Examples:
      | run | seq | received run | received seq | held run | held seq |
      | 2   | 5   | 2            | 6            | 2        | 6        |
      | 2   | 5   | 2            | 5            | 2        | 5        |
      | 2   | 5   | 2            | 4            | 2        | 5        |
      | 2   | 5   | 1            | 9            | 2        | 5        |
      | 2   | 5   | 3            | 1            | 3        | 1        |

  Scenario Outline: Liveness and retention of a member by its sources
    Given a membership with a peer <zone> from <source>
    When <seconds> s pass and the platform <list>
    Then that peer is <liveness> and <retention>

    Examples:
      | zone            | source          | seconds | list         | liveness  | retention        |
      | of the cell     | a digest        | 4       | is down      | alive     | kept             |
      | of the cell     | a digest        | 6       | is down      | not alive | kept             |
      | of the cell     | a digest        | 6       | lists it     | not alive | kept             |
      | of the cell     | a digest        | 4       | lists others | alive     | kept             |
      | of the cell     | a digest        | 3000    | lists others | not alive | kept             |
      | of the cell     | a digest        | 3700    | is down      | not alive | kept             |
      | of the cell     | a digest        | 3700    | lists others | not alive | dropped          |
      | of the cell     | the list        | 1       | is down      | not alive | kept             |
      | of the cell     | list and digest | 4       | lists others | alive     | kept as delisted |
      | of another zone | a digest        | 4       | is down      | alive     | kept             |
      | of another zone | a digest        | 60      | is down      | not alive | kept             |

  Scenario Outline: Cells are bounded, cover every VM, and change little when a VM is added
    When <nodes> VMs of a zone are put into cells
    Then every VM is in one of <cells> cells of at most 8
    And adding one VM moves at most <moved> of the others

    Examples:
      | nodes | cells | moved |
      | 1     | 1     | 0     |
      | 3     | 1     | 0     |
      | 8     | 1     | 8     |
      | 9     | 2     | 3     |
      | 66    | 9     | 20    |

  @fuzz
  Scenario: Gossip converges from one known address, and after every fault
    When membership is fuzzed with 60 examples
    Then no older run or digest replaced a newer one, and all converged

  Scenario: Gossip stays within its budget at the stated size
    When a cell of 8 nodes gossips for 60 s with digests of 1500 bytes
    Then no node begins exchanges of more than 1900 bytes per second

  Scenario Outline: The peer API refuses calls that are not from a peer
    Given a running fleet of 3 gossiping nodes
    When a call to the peers' path <path> has <defect>
    Then the peers' answer has status <status>

    Examples:
      | path          | defect         | status |
      | /peer/digest  | no secret      | 401    |
      | /peer/config  | no secret      | 401    |
      | /peer/members | a wrong secret | 401    |
      | /peer/digest  | a broken body  | 400    |
      | /peer/digest  | a bad identity | 400    |

  Scenario Outline: A peer that is <fault> is detected, kept, and rejoins
    Given a running fleet of 3 gossiping nodes
    When one gossiping node is <fault>
    Then the other nodes mark it as not alive
    And the other nodes still serve their own state
    When the <fault> node is restored
    Then every node marks every other as alive in its newest run

    Examples:
      | fault  |
      | frozen |
      | killed |

  Scenario Outline: The platform's list is sent again only if it <changed>
    Given a platform with a list of 50 VMs that a node has read
    When the list <changed> and is read 3 times
    Then it was sent <times> more times and read correctly

    Examples:
      | changed        | times |
      | stays the same | 0     |
      | loses a VM     | 1     |
      | gains a VM     | 1     |
