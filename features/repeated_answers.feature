Feature: An answer that an upstream writes again is not the answer to the next request

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
