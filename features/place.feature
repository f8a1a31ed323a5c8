Feature: A command tells where a request would go now

  Scenario Outline: The preview has the outcome that the request then has
    Given a node in virtual time with <state>
    When the placement of <prompt> tokens is previewed
    Then the outcome is <outcome>, because of "<reason>"
    And the node's state is as before
    And a request sent right after goes where the preview says

    Examples:
      | state                               | prompt | outcome | reason                   |
      | two engines                         | 0      | sent    | -                        |
      | two engines                         | 5000   | sent    | -                        |
      | two engines                         | 25000  | sent    | -                        |
      | two engines, one of them leaving    | 5000   | sent    | -                        |
      | two engines, one of them limited    | 5000   | sent    | -                        |
      | two engines, all paused             | 5000   | refused | take no requests         |
      | two engines, all evacuated          | 5000   | refused | zones of the service are evacuated |
      | two engines                         | 90000  | waits   | no upstream has room     |

  Scenario: The command against nodes of a fleet
    Given 3 nodes on the platform with two workers for each service
    Then lagoonctl place "NODE desk.example /read/ --account member-firm" exits with 0 and prints "sent: to d"
    And lagoonctl place "NODE desk.example /stream/1 --account member-firm --prompt-tokens 4960" exits with 0 and prints "a prefill of 0."
    And lagoonctl place "NODE desk.example /read/ --account member-firm --json" exits with 0 and prints ""outcome": "sent""
    And lagoonctl place "NODE desk.example /nowhere/ --account member-firm" exits with 9 and prints "no such route"
    And lagoonctl place "NODE desk.example /read/ --account nobody" exits with 9 and prints "no such client account"
    And lagoonctl place "NODE desk.example /read/ --prompt-tokens -1" exits with 2 and prints "must not be negative"
    And lagoonctl place "127.0.0.1:1 desk.example /read/" exits with 8 and prints "did not answer"
    And lagoonctl place "READY desk.example /read/" exits with 8 and prints "status 503"
    And no output has the key of a client account, and no worker got a request
