Feature: No engine leaks memory, with real processes

  Scenario Outline: Memory left by a caller or a node is freed
    Given a running node and 2 engines that answer slowly
    When a caller's stream is running and <event>
    Then the engines hold no memory within 20 s, long before the stream's expiry
    And <trace>

    Examples:
      | event                                                       | trace                        |
      | the caller disconnects                                      | the reaper found nothing     |
      | the caller disconnects while engines lose 2 release replies | the reaper found nothing     |
      | the node is killed and restarted                            | the reaper found a stream    |
      | the caller disconnects and the node is stopped at once      | the node exited with 0       |

  Scenario: Streams of a suspended node that is listed are kept, those of a removed VM are freed
    Given two nodes that the platform lists and 2 engines that answer slowly
    When a caller reads a whole answer of 30 s from the first node, which is suspended
    Then after 25 s the engines still hold the stream, though the second node receives no heartbeats of the first
    And when the first node is resumed the caller receives its whole answer
    When a caller's stream is running and the first node is killed and its VM is delisted
    Then the engines hold no memory within 40 s, long before the stream's expiry
