Feature: Groups with real processes

  Scenario: A prompt of a million tokens is answered by three engines of 400,000
    Given 1 running nodes and 3 engines of 400000 tokens
    When prompts of 1000000 tokens are sent to the nodes at once
    Then each long prompt receives its whole answer
    And the engines hold no memory within 20 s, long before the stream's expiry

  Scenario: Two nodes form groups over the same engines at once
    Given 2 running nodes and 3 engines of 400000 tokens
    When prompts of 700000 tokens are sent to the nodes at once
    Then each long prompt receives its whole answer
    And the engines hold no memory within 20 s, long before the stream's expiry

  Scenario: A node that is killed during a group attempt leaks no memory
    Given 1 running nodes and 3 engines of 400000 tokens
    When a prompt of 1000000 tokens has memory on every engine and its node is killed and restarted
    Then the engines hold no memory within 20 s, long before the stream's expiry

  Scenario: A stopped node finishes its group attempt first
    Given 1 running nodes and 3 engines of 400000 tokens
    When a prompt of 1000000 tokens has memory on every engine and its node is stopped
    Then each long prompt receives its whole answer
    And the engines hold no memory within 20 s, long before the stream's expiry
