Feature: Limits of a site over separate processes

  Scenario: Three nodes hold an account to one limit
    Given 3 nodes whose account tube-mills has 4000 tokens per second, saved up for 2 s
    When every node knows what the others hold of its demand
    And the account asks each node in turn for 500 tokens at a time, for 5 s
    Then it gets at most the limit and at least a third of it
    And it is told over_limit with Retry-After when it has used it up
