Feature: A prompt that kills engines, in separate processes

  Scenario: The prompt is resent at a node, and others beside it are answered
    Given a node before 4 engines that a marked prompt kills
    When the marked prompt is resent 6 times beside innocent prompts
    Then at most 2 engines were killed
    And the marked prompt ends as quarantined and not-run with Retry-After
    And every innocent prompt is answered
