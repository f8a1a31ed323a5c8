Feature: Nodes follow the eras of the store in any interleaving

  @fuzz
  Scenario: Any calls, messages and restarts while the store comes back from older copies
    Then the state machine of the store's eras holds for 30 examples
