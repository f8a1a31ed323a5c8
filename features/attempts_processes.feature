Feature: A model request under failure, in separate processes

  Scenario Outline: Mid-stream: <fault>
    Given a node and 2 engines behind relays
    When <fault> happens in the middle of a <form> answer
    Then the caller receives the whole answer
    And no engine or node holds anything after recovery

    Examples:
      | fault                             | form     |
      | a cut of open connections         | streamed |
      | a silence of open connections     | streamed |
      | a silence of open connections     | whole    |
      | a frozen engine                   | streamed |
      | a silence of one engine           | streamed |
      | a pause of the node               | streamed |

  Scenario: The node is paused past the request's deadline
    Given a node and 2 engines behind relays
    When the node is paused past the deadline of a streamed answer
    Then the caller receives deadline_exceeded without an end mark
    And no engine or node holds anything after recovery

  Scenario: The caller disconnects mid-stream
    Given a node and 2 engines behind relays
    When the caller disconnects in the middle of a streamed answer
    Then no engine or node holds anything after recovery

  Scenario Outline: A caller that reads nothing: <form>
    Given a listener for callers with endless answers
    When a caller requests a <form> answer and reads nothing
    Then its connection is closed soon after the deadline

    Examples:
      | form     |
      | streamed |
      | whole    |

  Scenario: Retired connections are closed after their last stream
    Given an engine client and a running engine
    When the pool is dropped 5 times during a stream and 5 streams are resumed
    Then every retired connection is closed after the streams

  Scenario: An engine is killed mid-stream
    Given a node and 2 engines behind relays
    When a killed engine happens in the middle of a streamed answer
    Then the caller receives the whole answer
    And no engine or node holds anything after recovery
