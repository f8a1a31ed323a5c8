Feature: No engine loses memory, with real processes

  Scenario Outline: What a caller or a node leaves behind is freed
    Given a running node and 2 engines that answer slowly
    When a caller's stream is running and <event>
    Then the engines hold nothing within 20 s, long before the stream's expiry
    And <trace>

    Examples:
      | event                                                       | trace                        |
      | the caller goes away                                        | the reaper had nothing to do |
      | the caller goes away while engines lose 2 release replies   | the reaper had nothing to do |
      | the node is killed and started again                        | the reaper found a stream    |
      | the caller goes away and the node is stopped at once        | the node ended well          |
