Feature: A model request under failure, in separate processes

  Scenario Outline: Mid-stream: <fault>
    Given a node and 2 engines behind relays
    When <fault> happens in the middle of a <form> answer
    Then the caller has the whole answer
    And no engine and no node holds anything after mending

    Examples:
      | fault                             | form     |
      | a cut of open connections         | streamed |
      | a silence of open connections     | streamed |
      | a silence of open connections     | whole    |
      | a frozen engine                   | streamed |
      | a silence of one engine           | streamed |
      | a pause of the node               | streamed |

  Scenario: The node is paused past the request's bound
    Given a node and 2 engines behind relays
    When the node is paused past the bound of a streamed answer
    Then the caller is told deadline_exceeded without an end mark
    And no engine and no node holds anything after mending

  Scenario: The caller goes away in the middle
    Given a node and 2 engines behind relays
    When the caller goes away in the middle of a streamed answer
    Then no engine and no node holds anything after mending

  Scenario Outline: A caller that reads nothing: <form>
    Given a caller's listener over a model path with endless answers
    When a caller asks for a <form> answer and reads nothing
    Then its connection is dropped soon after the bound

    Examples:
      | form     |
      | streamed |
      | whole    |

  Scenario: Retired connections are closed with their last stream
    Given an engine client and a running engine
    When the pool is dropped 5 times during a stream and 5 streams are resumed
    Then every retired connection is closed at the end

  Scenario: An engine is killed in the middle
    Given a node and 2 engines behind relays
    When a killed engine happens in the middle of a streamed answer
    Then the caller has the whole answer
    And no engine and no node holds anything after mending
