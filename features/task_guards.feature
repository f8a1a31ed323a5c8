Feature: An unexpected error or a damaged message ends no process

  Scenario Outline: A task with an unexpected error goes on
    Given a service whose <task> fails <failures> times
    When 5 s pass in virtual time
    Then the service still runs, and its <task> did its work

    Examples:
      | task  | failures |
      | timer | 0        |
      | timer | 3        |
      | task  | 1        |
      | task  | 3        |

  # An error in one handler of a datagram kept it from the others.
  Scenario: A handler that fails keeps no message from the others
    Given a socket with a handler that fails and one that does not
    When a message arrives
    Then the second handler gets it

  Scenario Outline: Damaged messages of nodes
    Given a node that gets messages of other nodes
    When it gets 4000 messages with damaged values, for seed <seed>
    Then no handler fails, and the node can still choose upstreams and send its state

    Examples:
      | seed |
      | 1    |
      | 2    |
