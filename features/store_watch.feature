Feature: One node of a zone reads the store, and the others hear from it

  Scenario Outline: Calls to the store do not grow with the nodes of a zone
    Given a zone of <nodes> nodes that have started
    When 20 seconds pass with a change of the configuration each 5 s
    Then the zone made at most 3 calls a second, and one node watches the store

    Examples:
      | nodes |
      | 1     |
      | 3     |
      | 13    |
      | 39    |

  Scenario Outline: A change is in force at every node within the bound
    Given a zone of <nodes> nodes that have started
    And <loss> of 100 messages are lost, and others are late by up to <lateness> s
    When a configuration is written at a random moment and <fault>, for 4 seeds
    Then it is in force within two seconds at every node that reaches the store
    And no node ever confirmed an older configuration after the change

    Examples:
      | nodes | loss | lateness | fault                                          |
      | 1     | 0    | 0        | nothing fails                                  |
      | 3     | 0    | 0        | nothing fails                                  |
      | 39    | 0    | 0        | nothing fails                                  |
      | 39    | 30   | 0        | nothing fails                                  |
      | 13    | 0    | 3        | nothing fails                                  |
      | 39    | 100  | 0        | nothing fails                                  |
      | 3     | 0    | 0        | the watching node stops just before            |
      | 39    | 0    | 0        | the watching node stops just before            |
      | 3     | 0    | 0        | the watching node stops just after             |
      | 39    | 5    | 0.1      | the watching node stops just after             |
      | 3     | 0    | 0        | the store is silent for the watching node      |
      | 39    | 0    | 0        | the store is silent for the watching node      |
      | 39    | 0    | 0        | the store refuses the watching node            |
      | 39    | 0    | 0        | the store refuses half of the nodes            |
      | 3     | 0    | 0        | the store refuses all nodes but one            |
      | 39    | 0    | 0        | the store refuses all nodes but one            |
      | 13    | 0    | 0        | the store loses its history                    |

  # An upstream got requests 2.3 s after it began to drain, from a node whose poll of the
  # list was never answered.
  Scenario Outline: A draining upstream is known in time although a call hangs
    Given a zone of <nodes> nodes that have started
    And <loss> of 100 messages are lost, and others are late by up to 0 s
    When <fault>, an upstream begins to drain <after> s later, and configurations are written <changes>, for 8 seeds
    Then every node knows within two seconds that it is leaving

    Examples:
      | nodes | loss | fault                                          | after | changes   |
      | 3     | 0    | nothing fails                                  | 0     | never     |
      | 39    | 5    | nothing fails                                  | 0     | meanwhile |
      | 3     | 0    | the store is silent for 8 s                    | 3.3   | never     |
      | 39    | 0    | the store is silent for 8 s                    | 3.3   | never     |
      | 3     | 0    | the store is silent for 0.3 s                  | 0     | never     |
      | 3     | 0    | the watching node's poll of the upstreams hangs | 0     | never     |
      | 1     | 0    | the watching node's poll of the upstreams hangs | 0     | never     |
      | 39    | 5    | the watching node's poll of the upstreams hangs | 0     | never     |
      | 3     | 0    | the watching node's poll of the upstreams hangs | 1     | meanwhile |
      | 39    | 5    | the watching node's poll of the upstreams hangs | 1.5   | meanwhile |
      | 3     | 0    | every poll of the watching node hangs          | 0     | never     |
      | 39    | 0    | every poll of the watching node hangs          | 0     | never     |

  # Rows counted as read although an error had kept them from being applied.
  Scenario Outline: A draining upstream is known in time although rows can't be applied
    Given a zone of <nodes> nodes that have started
    And <loss> of 100 messages are lost, and others are late by up to 0 s
    When <fault>, an upstream begins to drain 0 s later, and configurations are written <changes>, for 8 seeds
    Then every node knows within two seconds that it is leaving

    Examples:
      | nodes | loss | fault                                   | changes   |
      | 1     | 0    | an entry can't be translated            | never     |
      | 3     | 0    | an entry can't be translated            | meanwhile |
      | 39    | 5    | an entry can't be translated            | never     |
      | 1     | 0    | each node fails 1 time to apply entries | never     |
      | 3     | 0    | each node fails 1 time to apply entries | meanwhile |
      | 39    | 5    | each node fails 1 time to apply entries | never     |
      | 3     | 0    | each node fails 2 times to apply entries | never    |

  # Requests reached an evacuated zone 6.7 s after the store had acknowledged it.
  Scenario Outline: An evacuation is known in time and until it is taken back
    Given a zone of <nodes> nodes that have started
    And <loss> of 100 messages are lost, and others are late by up to 0 s
    When <fault>, a zone is evacuated <after> s later, and <then>, for 4 seeds
    Then every node knows the evacuation within two seconds, until it is taken back

    Examples:
      | nodes | loss | fault                          | after | then                                  |
      | 1     | 0    | nothing fails                  | 0     | nothing follows                       |
      | 3     | 0    | nothing fails                  | 0     | a node starts                         |
      | 39    | 5    | nothing fails                  | 0     | a node starts                         |
      | 3     | 0    | the store is silent for 8 s    | 3.3   | nothing follows                       |
      | 39    | 5    | the store is silent for 8 s    | 3.3   | a node starts                         |
      | 39    | 0    | every poll of the watching node hangs | 0 | nothing follows                    |
      | 3     | 0    | the store loses its history    | 0     | a node starts                         |
      | 39    | 5    | the watching node stops        | 0     | nothing follows                       |
      | 3     | 0    | nothing fails                  | 0     | the store comes back from an older copy |
      | 39    | 5    | nothing fails                  | 0     | the store comes back from an older copy |

  Scenario Outline: A store that comes back from an older copy
    Given a zone of <nodes> nodes that have started
    And <loss> of 100 messages are lost, and others are late by up to <lateness> s
    When the store is <away> for 1 s and comes back from a copy that is <old> s old, <times> times
    And what the operator and the upstreams wrote since is written again after <again> s
    # Three tables, each refused once and read twice, and the node's own entry.
    Then every node has configuration and upstreams within two seconds, and the store the entries of all nodes
    And no node went back to an older configuration, and none sent to an upstream that had drained
    And each node made at most 10 calls more than before

    Examples:
      | nodes | loss | lateness | away    | old | times | again |
      | 1     | 0    | 0        | refused | 3   | 1     | 0.5   |
      | 3     | 0    | 0        | silent  | 3   | 1     | 0.5   |
      | 3     | 0    | 0        | refused | 3   | 2     | 0     |
      | 3     | 0    | 3        | refused | 6   | 2     | 1.5   |
      | 39    | 5    | 0        | refused | 3   | 1     | 0.5   |
      | 39    | 5    | 0.1      | silent  | 6   | 3     | 1     |

  Scenario Outline: Versions that belong to no known row show that a poll hangs
    Given the upstreams are known up to version 10, and the nodes up to version <nodes>
    When rows of versions <rows> are known, and answers have the newest versions <newest>
    Then the tables to read again after the last answer are <tables>

    Examples:
      | nodes | rows   | newest           | tables              |
      | 10    | none   | 10, 10           | none                |
      | 10    | none   | 12               | none                |
      | 10    | none   | 12, 12           | upstreams and nodes |
      | 10    | none   | 11, 12           | upstreams and nodes |
      | 12    | none   | 12, 12           | upstreams           |
      | 10    | 11, 12 | 12, 12           | none                |
      | 10    | 12     | 12, 12           | upstreams and nodes |
      | 10    | 9, 11  | 11, 12           | none                |
      | 10    | none   | 1000000, 1000000 | upstreams and nodes |

  Scenario: A node that reads all rows again can still send updates
    Given a zone of 5 nodes that have started
    When the store loses its history, and 3 seconds pass with a change each second
    Then every node that watched the store could send updates at any time

  # Nodes that all lost power at once served prompts again that had crashed engines. Two
  # nodes may begin to watch the store at the same time, and each reads quarantines once.
  Scenario Outline: Quarantines outlast the end of all nodes
    Given a zone of <nodes> nodes that keep quarantines
    When <crashes> upstreams end under prompts with a part, <event>, and all nodes end
    And they start again after <down> s
    Then 3 s later the part is <state> at every node
    And the store was called at most <calls> times for quarantines
    And each value in the store has at most half the size of a row

    Examples:
      | nodes | crashes | event                              | down | state   | calls |
      | 1     | 5       | nothing else happens               | 3    | refused | 10    |
      | 3     | 5       | nothing else happens               | 3    | refused | 10    |
      | 39    | 5       | nothing else happens               | 3    | refused | 10    |
      | 3     | 0       | nothing else happens               | 3    | served  | 4     |
      | 3     | 1       | nothing else happens               | 3    | served  | 4     |
      | 3     | 5       | one with the part is answered      | 3    | served  | 10    |
      | 3     | 5       | the store is away for 2 s          | 3    | refused | 14    |
      | 3     | 5       | the store has an older copy        | 3    | refused | 14    |
      | 3     | 5       | the stored values are overwritten  | 3    | served  | 14    |
      | 3     | 5       | others under a part with a long name | 3  | refused | 24    |
      | 3     | 5       | nothing else happens               | 580  | refused | 10    |
      | 3     | 5       | nothing else happens               | 610  | served  | 10    |

  Scenario Outline: While the store fails, the calls of a zone are limited
    Given a zone of <nodes> nodes that have started
    When the calls of all nodes are <fault> for 8 seconds
    Then the zone made at most <most> calls a second meanwhile
    And every node has a confirmation within a second of its return

    Examples:
      | nodes | fault   | most |
      | 1     | refused | 6    |
      | 3     | refused | 8    |
      | 39    | refused | 16   |
      | 39    | silent  | 16   |

  Scenario Outline: Messages of a node can't bring back an older state
    Given a zone of 5 nodes that have started
    And configurations 2, 3 and 4 are written, and an upstream is removed
    When every message so far is delivered again <order>
    Then every node has configuration 4 and not the upstream

    Examples:
      | order            |
      | in order         |
      | in reverse order |
      | in random order  |

  Scenario Outline: A message that can't be read is refused
    When a datagram <content> is decoded
    Then the datagram is refused with "<reason>"

    Examples:
      | content                   | reason     |
      | of random bytes           | MessagePack |
      | of a number               | Expected   |
      | of deeply nested lists    | recursion  |
      | whose data is truncated   | incomplete |
      | whose data is damaged     | incorrect  |
      | that unpacks to 5 MB      | too large  |

  Scenario Outline: The time of the store's clock is translated to the node's
    Given calls to the store that took <calls>
    Then the store's time <store> is the node's time <local> at time <now>

    Examples: each call as local request and answer, and the store's time
      | calls                             | store | local   | now |
      | none                              | 50    | unknown | 120 |
      | 100-101:50                        | 50    | 100     | 120 |
      | 100-101:50                        | 60    | 110     | 120 |
      | 100-101:50                        | 75    | unknown | 120 |
      | 100-110:50, 110-110.5:52          | 52    | 110     | 120 |
      | 100-101:50, 110-111:900           | 900   | 110     | 120 |
      | 100-101:50, 110-111:900           | 50    | -740    | 120 |

  Scenario Outline: Missing entries are kept only after an outage
    Given the store answered <answers>
    When a call <failure>, and the store answers again at <again> s
    Then missing entries are kept for <grace> s from then on

    Examples:
      | answers   | failure | again | grace |
      | at 0 s    | fails   | 10    | 1.8   |
      | at 0 s    | fails   | 2     | 0     |
      | at 0 s    | works   | 10    | 0     |
      | not yet   | fails   | 10    | 0     |
