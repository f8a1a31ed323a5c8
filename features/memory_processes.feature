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

  Scenario: The streams of a node that is frozen but listed are kept, those of one that is gone are freed
    Given two nodes that the platform lists and 2 engines that answer slowly
    When a caller reads a whole answer of 30 s from the first node, which is frozen
    Then after 25 s the engines still hold the stream, though the second node takes the first as silent
    And when the first node wakes the caller gets its whole answer
    When a caller's stream is running and the first node is killed and its VM leaves the list
    Then the engines hold nothing within 40 s, long before the stream's expiry
