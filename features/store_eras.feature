Feature: Nodes follow the eras of the store in any interleaving

  @fuzz
  Scenario: Any calls, messages and restarts while the store comes back from older copies
    Then the state machine of the store's eras holds for 30 examples

  Scenario: The metrics have the era of the store that a node follows
    Given a zone of 3 nodes that have started
    When the store comes back from a copy of now, and 2 s pass
    Then the metrics of every node have the store's era 1
