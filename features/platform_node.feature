Feature: A node on the platform forwards requests and answers unchanged

  Scenario Outline: A request that can't be served gets the matching status
    Given a node on the platform with two workers for each service
    When a client sends <method> <target> with <change>
    Then it gets status <status>, and no worker ran it

    Examples:
      | method | target     | change                | status |
      | GET    | /read/1    | an unknown host       | 404    |
      | GET    | /unknown/1 | nothing changed       | 404    |
      | GET    | /read/1    | an unknown key        | 401    |
      | GET    | /read/1    | no key                | 401    |
      | GET    | /read/1    | no attempt identity   | 400    |
      | POST   | /order/1   | a body over the limit | 413    |
      | GET    | /read/1    | headers over the limit | 431   |

  Scenario Outline: A forwarded request reaches the worker as it came
    Given a node on the platform with two workers for each service
    When a client sends <method> <target> with <change>
    Then it gets the worker's own answer
    And the worker got method, target and body unchanged, the account and no key

    Examples:
      | method | target             | change          |
      | GET    | /read/a%2Fb/%C3%A9 | nothing changed |
      | GET    | /read/1?           | nothing changed |
      | GET    | /read/1?a=%20b&c=  | nothing changed |
      | POST   | /order//1          | a body          |
      | POST   | /order/../order/2  | a body          |
      | POST   | /stream/1          | a body          |
      | POST   | /order/1           | a gzip body     |
      | POST   | /read/1            | a body said to be gzip |
      | POST   | /order/1           | a body of encoding br |

  Scenario Outline: A worker's fault never causes a wrong answer to the client
    Given a node on the platform with two workers for each service
    When the next request meets the fault <fault>, and a client sends <method> <target>
    Then it gets <answer> after <runs> runs

    Examples:
      | fault          | method | target    | answer           | runs |
      | shed           | GET    | /read/1   | a whole answer   | 1    |
      | shed           | POST   | /order/1  | a whole answer   | 1    |
      | refusal twice  | GET    | /read/1   | a whole answer   | 1    |
      | refusal twice  | POST   | /order/1  | a whole answer   | 1    |
      | cut            | GET    | /read/1   | a whole answer   | 1    |
      | cut            | POST   | /order/1  | status 502       | 0    |
      | silent         | GET    | /read/1   | a whole answer   | 2    |
      | silent         | POST   | /order/1  | status 504       | 1    |
      | error          | GET    | /read/1   | a whole answer   | 2    |
      | error          | POST   | /order/1  | status 500       | 1    |
      | refusal        | POST   | /order/1  | status 502       | 1    |
      | foreign        | GET    | /read/1   | a whole answer   | 2    |
      | foreign        | POST   | /order/1  | status 502       | 1    |
      | unstamped      | POST   | /order/1  | status 502       | 1    |
      | encoded        | POST   | /order/1  | status 502       | 1    |
      | unframed       | POST   | /order/1  | a whole answer   | 1    |
      | unframed reset | GET    | /read/1   | a whole answer   | 2    |
      | unframed reset | POST   | /order/1  | status 502       | 1    |
      | truncated      | POST   | /order/1  | status 502       | 1    |
      | extra          | GET    | /read/1   | a whole answer   | 1    |
      | break          | POST   | /stream/1 | a whole stream   | 2    |
      | break          | POST   | /stream/once/1 | no whole answer | 1 |
      | stall          | POST   | /stream/1 | a whole stream   | 2    |
      | unframed       | POST   | /stream/1 | a whole stream   | 1    |
      | unframed break | POST   | /stream/1 | a whole stream   | 2    |
      | unframed break | POST   | /stream/once/1 | no whole answer | 1 |

  # Seen at other systems: part of an answer without length, whose connection is reset
  # while the upload is still being written, was taken for the whole answer.
  Scenario Outline: An answer that breaks off during an upload is not complete
    Given a node on the platform that takes bodies of 16 MB
    When the next request meets the fault <fault>, and a client uploads 8 MB to <target>
    Then it gets <answer> after <runs> runs

    Examples:
      | fault                    | target         | answer          | runs |
      | early reset              | /order/1       | status 502      | 1    |
      | early reset              | /read/1        | a whole answer  | 2    |
      | early answer, then reset | /order/1       | status 502      | 1    |
      | early answer, then reset | /read/1        | a whole answer  | 2    |
      | early answer, then reset | /stream/once/1 | status 502      | 1    |

  # Seen at other systems: a status that is none was passed on, and a head that broke off
  # became an answer that was empty or short.
  Scenario Outline: What is no whole head is no answer
    Given a node on the platform with two workers for each service
    When the next request meets the fault <fault>, and a client sends <method> <target>
    Then it gets <answer> after <runs> runs

    Examples:
      | fault                            | method | target         | answer         | runs |
      | status 000                       | POST   | /order/1       | status 502     | 1    |
      | status 000                       | GET    | /read/1        | a whole answer | 2    |
      | head cut in its first line       | POST   | /order/1       | status 502     | 1    |
      | head cut after its first line    | POST   | /order/1       | status 502     | 1    |
      | head cut after its first line    | POST   | /stream/once/1 | status 502     | 1    |
      | head cut in a header             | POST   | /order/1       | status 502     | 1    |
      | head cut after a header          | POST   | /order/1       | status 502     | 1    |
      | head cut after a header          | GET    | /read/1        | a whole answer | 2    |
      | head cut before the empty line   | POST   | /order/1       | status 502     | 1    |
      | head cut before the empty line   | POST   | /stream/1      | a whole stream | 2    |
      | head reset before the empty line | POST   | /order/1       | status 502     | 1    |

  # An error page was written into the stream, which ended as if it were complete.
  Scenario Outline: An error after a stream broke off never becomes a part of it
    Given a node on the platform with two workers for each service
    When a client's stream breaks off and its next worker answers with the fault <fault>
    Then the client gets the first two events and sees that the rest is missing

    Examples:
      | fault            |
      | error            |
      | not found        |
      | shed             |
      | refusal twice    |
      | cut              |
      | page             |
      | event without id |
      | old event        |

  # The fault was noticed only at the deadline, or at the timeout for a silent worker.
  Scenario Outline: A garbled answer ends the attempt at once
    Given a node on the platform with two workers for each service
    When the next request meets the fault garbled, and a client sends <method> <target>
    Then it gets <answer> after <runs> runs
    And the client waited at most 0.3 s for it

    Examples:
      | method | target         | answer          | runs |
      | GET    | /read/1        | a whole answer  | 2    |
      | POST   | /order/1       | status 502      | 1    |
      | POST   | /stream/1      | a whole stream  | 2    |
      | POST   | /stream/once/1 | no whole answer | 1    |

  Scenario: The worker's work ends when the client disconnects
    Given a node on the platform with two workers for each service
    When a client disconnects while its call is silent at the worker
    Then the worker's work ends within half a second

  Scenario Outline: A node that can't confirm its configuration refuses requests as not run
    Given a node on the platform with two workers for each service
    When the store is <fault> for 6 seconds
    Then the node is not ready and refuses requests as not run, with Retry-After
    And it serves again once the store answers

    Examples:
      | fault  |
      | silent |
      | reset  |
      | busy   |

  Scenario Outline: A change of the store is in force within two seconds
    Given a node on the platform with two workers for each service
    When <change>
    Then within two seconds <effect>

    Examples:
      | change                                        | effect                              |
      | a route is added                              | the new route is served             |
      | the key is removed                            | the key is refused with 401         |
      | the history is discarded and a route is added | the new route is served             |
      | a worker of the desk is draining              | only the other worker gets requests |
      | a worker of the desk is removed               | only the other worker gets requests |
      | a worker's entry is unreadable                | only the other worker gets requests |

  # After a restart, nodes had no workers; running nodes missed what came with the entry.
  Scenario Outline: An odd entry of another writer hides no other entry
    Given a node on the platform with two workers for each service
    When an entry of another writer <entry> is written as a worker starts to drain
    Then within two seconds only the other worker gets requests
    And a node that starts afterwards serves requests

    Examples:
      | entry                           |
      | that is deeply nested           |
      | with a deeply nested field      |
      | with a start time too large     |
      | with a port out of range        |
      | with a host name too long       |

  Scenario: A removed worker gets no more requests, also after a time without changes
    Given a node on the platform with two workers for each service
    When nothing changes in the store for 4 seconds
    And a worker of the desk is removed
    Then within two seconds only the other worker gets requests

  Scenario: A worker that is removed soon after a late start of the store gets no more requests
    Given a node on the platform that started before the store answered
    When a worker of the desk is removed
    Then within two seconds only the other worker gets requests

  Scenario Outline: The store comes back from an older copy
    Given a node on the platform with two workers for each service
    When the store is copied, <change>, and the store comes back from the copy
    And <again> after the loss
    Then within two seconds <effect>
    And the store has the node's entry

    Examples:
      | change                           | again                            | effect                              |
      | a route is added                 | nothing is written               | the new route is served             |
      | the key is removed               | nothing is written               | the key is refused with 401         |
      | a worker of the desk is draining | nothing is written               | only the other worker gets requests |
      | a worker of the desk is draining | a route is added                 | the new route is served             |
      | nothing is written               | a worker of the desk is draining | only the other worker gets requests |

  Scenario: A worker whose entry expired during a store outage stays listed for a while
    Given a node on the platform with two workers for each service
    When the store is silent for 4 seconds, and a worker's entry expires
    Then the node still lists that worker for a second
    And it stops listing the worker if the entry does not return

  Scenario: A node answers 503 before it has a configuration
    Given a node on the platform whose store has no configuration
    When a client sends GET /read/1 with nothing changed
    Then it gets status 503, and no worker ran it
    And the answer has a Retry-After header

  Scenario: A node is ready only once it has a configuration
    Given a node on the platform whose store has no configuration
    Then it is not ready within a second
    And it is ready soon after a configuration is written

  Scenario Outline: A prompt over one engine's memory is divided among several
    Given a node on the platform with four workers for models
    When a client sends a prompt of <tokens> tokens <when>
    Then memory was reserved for it, and all of it is released afterwards

    Examples:
      | tokens | when                           |
      | 500000 | and reads the whole stream     |
      | 900000 | and reads the whole stream     |
      | 500000 | and disconnects before the end |
      | 500000 | while a worker cuts its stream |

  # After a restart, a prompt used the memory that a request of the killed process used.
  Scenario: A node that starts again reserves memory under other names
    Given a node on the platform with four workers for models
    When a client sends a prompt of 500000 tokens and reads the whole stream
    And the node is killed and starts again
    And a client sends a prompt of 500000 tokens and reads the whole stream
    Then no two requests used memory of one name

  Scenario: A prompt whose prefill can't end before the deadline is refused at once
    Given a node on the platform with four workers for models
    When a prompt of 900000 tokens arrives at the node with 1100 ms left
    Then it gets status 503, and no worker ran it
    And its Retry-After is at least 1 s

  Scenario: A request that crashes every worker is refused at all nodes
    Given a node on the platform with four workers for models
    And another node beside it
    And every worker crashes when it runs a request
    When a client sends the same prompt until three workers have crashed
    Then both nodes refuse it as not run within two seconds
    And another prompt is served by the remaining worker

  Scenario: A request is refused once its own attempts confirm that it crashes workers
    Given a node on the platform with four workers for models
    And every worker crashes when it runs a request
    When a client sends the same prompt 3 times without a pause
    Then 3 workers have crashed, and the last answer is a refusal as not run

  Scenario: A planned stop finishes running requests
    Given a node on the platform with two workers for each service
    When the node is stopped during a stream
    Then the client gets the whole stream and the node exits with status 0

  Scenario Outline: Changed settings come into force without a restart
    Given a node on the platform with two workers for each service
    When its settings file gets <change><signal>
    Then the log contains "<line>" and the node still serves

    Examples:
      | change               | signal             | line                      |
      | a shorter revocation | and it gets SIGHUP | Settings are in force     |
      | a shorter revocation |                    | Settings are in force     |
      | a bad revocation     | and it gets SIGHUP | Bad setting; kept the old |

  Scenario: Metrics and the state dump show a request, and no key
    Given a node on the platform with two workers for each service
    When a client sends GET /read/1 with nothing changed
    Then metrics and state dump show the request and contain no key

  Scenario: A log pipe that is not read blocks no request
    Given a node on the platform with a log pipe that is not read
    When 600 requests are sent to it
    Then all of them are answered
    And the node still exits with status 0 when stopped

  Scenario: The log has the events of a request as JSON
    Given a node on the platform with two workers for each service
    When the next request meets the fault cut, and a client sends GET /read/1
    Then the log's lines of that request are "Sent.", "A send failed.", "Sent." and "Answered."
