Feature: A prompt that crashes engines, in separate processes

  Scenario: The prompt is resent to a node, and harmless prompts are answered
    Given a node and 4 engines that a marked prompt crashes
    When the marked prompt is resent 6 times beside harmless prompts
    Then at most 2 engine processes crashed
    And the marked prompt ends as quarantined and not-run with Retry-After
    And every harmless prompt is answered
