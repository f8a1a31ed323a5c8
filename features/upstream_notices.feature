Feature: What upstreams say of themselves decides which requests they get

  Scenario Outline: A worker that says that it leaves gets no more requests
    Given <nodes> nodes on the platform with two workers for each service
    When <worker> says that it leaves, and 12 requests a second are sent to <target> for 4 s
    Then every request is answered with 200
    And <worker> got a request, and none later than 2 s after its first answer

    Examples:
      | nodes | worker | target    |
      | 1     | d1     | /read/1   |
      | 3     | d1     | /read/1   |
      | 3     | m1     | /stream/1 |

  Scenario: A worker that says that it leaves and starts again gets requests
    Given 1 nodes on the platform with two workers for each service
    When d1 says that it leaves, and 12 requests a second are sent to /read/1 for 2 s
    And its entry has a later start, and 12 requests a second are sent to /read/1 for 2 s
    Then d1 got a request after its later start

  # Allowed are two requests of each node.
  Scenario Outline: A worker that turns requests away gets none for as long as it says
    Given <nodes> nodes on the platform with two workers for each service
    When d1 answers 503 with Retry-After <retry_after>, and 12 requests a second are sent to /read/1 for 5 s
    Then every request is answered with 200
    And d1 got at most <most> requests from 0.5 s to 3 s after its first answer
    And d1 got a request later than 3 s after its first answer

    Examples:
      | nodes | retry_after | most |
      | 1     | 3           | 2    |
      | 3     | 3.0         | 6    |

  Scenario Outline: An unreadable Retry-After of a worker is ignored
    Given 1 nodes on the platform with two workers for each service
    When d1 answers 503 with Retry-After <retry_after>, and 12 requests a second are sent to /read/1 for 2 s
    Then every request is answered with 200
    And d1 got a request later than 0.5 s after its first answer

    Examples:
      | retry_after |
      | soon        |
      | -3          |

  Scenario: Requests are refused at once while all workers turn requests away
    Given 1 nodes on the platform with two workers for each service
    When d1 and d2 answer 503 with Retry-After 4, and 12 requests a second are sent to /read/1 for 3 s
    Then the other requests are refused with 503 and a Retry-After within 0.3 s
    And the last Retry-After is between 0.5 and 2 s

  Scenario Outline: What an upstream said holds although its row is missing for a time
    Given a node in virtual time to which an upstream said that it <notice>
    When <event>, 2 s pass, and its row of then comes back
    Then the node sends it nothing

    Examples:
      | notice    | event                           |
      | leaves    | nothing happens                 |
      | leaves    | its row is removed              |
      | leaves    | it is listed with a later start |
      | pauses    | nothing happens                 |
      | pauses    | its row is removed              |
      | pauses    | it is listed with a later start |

  Scenario Outline: A shorter pause does not end a longer one
    Given an upstream that asks one node for pauses <pauses>
    Then the node sends it nothing for <rest> s from 1 s on

    Examples: each pause as time of the answer and Retry-After, in s
      | pauses         | rest |
      | 0: 5           | 4    |
      | 0: 5, 0.1: 0.2 | 4    |
      | 0: 2, 0.1: 5   | 4.1  |
      | 0: 0.5         | 0    |

  Scenario: What a peer was told of an upstream is logged once
    Given two nodes in virtual time, one of which an upstream tells that it leaves
    When 2 s pass in which the nodes send each other updates
    Then the log of the other node says once that a peer was told that it leaves

  Scenario Outline: The metrics show why upstreams get no requests
    Given a node in virtual time to which an upstream said that it <notice>
    When <event>, 2 s pass, and its row of then comes back
    Then its metrics count <leaving> leaving and <paused> paused upstreams

    Examples:
      | notice | event              | leaving | paused |
      | leaves | nothing happens    | 1       | 0      |
      | leaves | its row is removed | 1       | 0      |
      | pauses | nothing happens    | 0       | 1      |

  # The choice and the request lie up to half a second apart, while memory is reserved.
  Scenario Outline: An engine that closes while memory is reserved gets no request
    Given a node in virtual time before 6 engines, on which memory is reserved in 0.3 s
    When <engine> of a long prompt <notice> 0.1 s after the choice
    Then the prompt is answered by others after one attempt, and no retry is counted

    Examples:
      | engine               | notice                              |
      | the answering engine | says in an answer that it leaves    |
      | the answering engine | turns another request away          |
      | the answering engine | is draining by its row              |
      | the answering engine | told a peer that it leaves          |
      | the answering engine | is no longer listed                 |
      | a helper             | says in an answer that it leaves    |
      | a helper             | turns another request away          |
      | a helper             | is draining by its row              |

  @fuzz
  Scenario: Any answers, rows, messages, requests and restarts of upstreams and nodes
    Then the state machine of upstreams' notices holds for 60 examples
