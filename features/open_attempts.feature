Feature: Two upstreams work on one request without mixing their answers

  # Each upstream of a service is described by what it does with a request: "event 1"
  # sends an event, "wait" is a silence, "lost" a reset, "refuse" a statement that the
  # request did not run, "status" a whole answer, and "reserve" is the time that
  # reserving memory for its attempt takes before. The service uses them in order.
  Scenario Outline: A request with two open attempts ends as it should
    Given upstreams that do "<first>" and "<second>" and "<third>"
    When a caller sends a <kind>
    Then the caller gets "<answer>" after sends to "<sends>"

    Examples: An upstream goes on while another attempt is open
      | kind   | first                               | second                      | third | answer          | sends |
      | stream | event 1; wait 1.2; event 2; end     | wait 9                      | end   | 1 2 end         | 0 1   |
      | stream | event 1; wait 1.2; event 2; end     | wait 0.2; event 2; end      | end   | 1 2 end         | 0 1   |
      | stream | event 1; wait 9                     | event 2; wait 1.5; event 3; end | end | 1 2 3 end     | 0 1   |
      | stream | event 1; wait 1.2; event 2; lost    | wait 9                      | end   | 1 2 aborted     | 0 1   |
      | stream | event 1; wait 1.5; event 2; end     | wait 0.5; event 2; end      | end   | 1 2 end         | 0 1   |
      | stream | event 1; wait 1.5; event 2; end     | reserve 9; end              | end   | 1 2 end         | 0     |

    Examples: Attempts fail while another one is open
      | kind   | first                               | second                      | third | answer          | sends |
      | stream | event 1; wait 1.2; lost             | wait 0.9; event 2; end      | event 2; end | 1 2 end  | 0 1   |
      | stream | event 1; wait 1.2; lost             | reserve 0.3; wait 0.9; event 2; end | wait 0.9; event 2; end | 1 2 end | 0 1 |
      | stream | wait 1.5; refuse                    | wait 0.5; refuse            | event 1; end | 1 end    | 0 1 2 |
      | stream | wait 1.6; refuse                    | wait 0.9; event 1; end      | event 1; end | 1 end    | 0 1   |
      | stream | event 1; wait 1.2; event 2; end     | status 404                  | end   | 1 2 end         | 0 1   |
      | stream | event 1; lost                       | status 404                  | end   | 1 aborted       | 0 1   |
      | call   | wait 0.8; status 200                | status 500                  | status 200 | 500        | 0 1   |
      | call   | wait 0.6; lost                      | wait 0.6; status 200        | status 200 | 200        | 0 1   |
      | call   | wait 0.6; fault                     | wait 0.6; status 200        | status 200 | fault      | 0 1   |

    Examples: Deadline and refusals
      | kind   | first          | second       | third        | answer | sends |
      | call   | wait 9         | wait 9       | status 200   | 504    | 0 1   |
      | call   | wait 9         | refuse       | refuse       | 504    | 0 1 2 |
      | call   | wait 1; refuse | lost         | status 200   | 200    | 0 1 2 |
      | call   | wait 1; refuse | refuse       | refuse       | 503    | 0 1 2 |
      | order  | wait 9         | status 200   | status 200   | 504    | 0     |
      | once   | event 1; wait 9 | event 2; end | event 2; end | 1 aborted | 0  |

  # Both upstreams are predicted to answer at once.
  Scenario Outline: A hedged request gets one answer
    Given upstreams that do "<first>" and "<second>" and "<third>"
    And requests are hedged after 0.3 s
    When a caller sends a <kind>
    Then the caller gets "<answer>" after sends to "<sends>"

    Examples:
      | kind   | first                    | second                                  | third      | answer  | sends |
      | call   | wait 0.38; status 200    | wait 0.05; status 200                   | end        | 200     | 0 1   |
      | call   | wait 0.38; status 200    | wait 0.079; status 200                  | end        | 200     | 0 1   |
      | call   | wait 0.38; status 200    | wait 0.081; status 200                  | end        | 200     | 0 1   |
      | call   | wait 0.29; status 200    | end                                     | end        | 200     | 0     |
      | call   | wait 0.35; lost          | wait 0.3; status 200                    | end        | 200     | 0 1   |
      | call   | wait 0.35; status 500    | wait 0.08; status 200                   | end        | 200     | 0 1   |
      | call   | wait 0.35; lost          | wait 0.08; lost                         | status 200 | 502     | 0 1   |
      | call   | wait 0.38; status 200    | refuse                                  | end        | 200     | 0 1   |
      | order  | wait 0.38; status 200    | end                                     | end        | 200     | 0     |
      | once   | wait 0.38; event 1; end  | end                                     | end        | 1 end   | 0     |
      | stream | wait 0.9; event 1; end   | wait 0.1; event 1; wait 0.1; event 2; end | end      | 1 2 end | 0 1   |
      | stream | event 1; wait 0.5; event 2; end | end                              | end        | 1 2 end | 0     |

  Scenario: The work of both upstreams of a hedged request ends when the caller leaves
    Given upstreams that do "wait 9" and "wait 9" and "wait 9"
    And requests are hedged after 0.3 s
    When a caller sends a call and leaves after 0.35 s
    Then nothing is sent to any upstream any more, after sends to "0 1"

  Scenario: The work of both upstreams ends when the caller leaves
    Given upstreams that do "wait 9" and "wait 9" and "wait 9"
    When a caller sends a call and leaves after 0.7 s
    Then nothing is sent to any upstream any more, after sends to "0 1"

  # The refusal and the timeout are due at the same time when the node runs again.
  Scenario: An attempt is a retry although the one before is refused at that moment
    Given upstreams that do "wait 0.8; refuse" and "event 1; end" and "end"
    When a caller sends a stream, and the node is suspended from 0.5 s to 2 s
    Then the caller gets "1 end" after sends to "0 1"
    And 1 retry is counted
