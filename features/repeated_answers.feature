Feature: What a faulty upstream writes is not taken for a whole answer to a request

  # A repeated refusal on a kept connection made a request that ran count as not run.
  Scenario Outline: A repeated answer of a faulty upstream
    Given an upstream that gives its first answer, <first>, again <moment>
    When two <calls> are sent to it one after the other
    Then the second one gets its own answer and ran once

    Examples:
      | calls                 | first     | moment                |
      | attempts of an engine | a refusal | a moment later        |
      | attempts of an engine | a refusal | with the next request |
      | calls that run once   | a refusal | with the next request |
      | calls that may repeat | a refusal | a moment later        |
      | calls that may repeat | an answer | a moment later        |

  # Part of an answer without length was taken for the whole one when its connection was
  # reset, also while the request was still being written.
  Scenario Outline: An answer that breaks off
    Given an upstream that answers <answer>, before it reads the request, and then <end>
    When a <call> of <size> KB is sent to it
    Then the call <result>

    Examples:
      | answer             | end     | call                 | size | result                    |
      | without length     | resets  | call that may repeat | 1    | fails                     |
      | without length     | resets  | call that runs once  | 1    | fails                     |
      | without length     | resets  | call that may repeat | 8000 | fails                     |
      | without length     | resets  | call that runs once  | 8000 | fails                     |
      | without length     | closes  | call that runs once  | 1    | gets the part as it ended |
      | with status 000    | closes  | call that runs once  | 1    | fails                     |
      | with a cut head    | closes  | call that runs once  | 1    | fails                     |
      | with a cut head    | resets  | call that may repeat | 1    | fails                     |
