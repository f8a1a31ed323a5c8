Feature: Site-wide limits across separate processes

  Scenario: Three nodes enforce one limit for an account
    Given 3 nodes whose account tube-mills has 4000 tokens per second and a burst of 2 s
    When every node has received the demand of the others
    And the account sends requests of 500 tokens to the nodes in turn for 5 s
    Then it is served at most the limit and at least a third of it
    And requests over the limit are refused with over_limit and Retry-After
