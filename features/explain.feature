Feature: A request's story is told from the logs of all nodes

  Background:
    Given the logs of two nodes on a played day

  Scenario Outline: The cause of a request's end
    When "lagoonctl explain" is asked for <request>
    Then it prints the cause "<cause>"
    And it prints <lines> lines of the request

    Examples:
      | request | lines | cause                                                                       |
      | full    | 5     | Refused and not run: 2 sends reached no upstream or were declined           |
      | broken  | 5     | The stream broke off: Lost(reason='reset')                                  |
      | open    | 3     | Failed after it may have run; the outcome is open: Lost(reason='reset')     |
      | late    | 2     | The time limit passed while i-1 had it; it may have run.                    |
      | never   | 1     | The time limit passed before it was sent; it did not run.                   |
      | stale   | 1     | Not admitted, status 503: the configuration is stale                        |
      | good    | 3     | Answered after 0.9 s.                                                       |
      | cut     | 1     | Its end is not in these logs                                                |

  Scenario Outline: What a node believed is shown with the request
    When "lagoonctl explain" is asked for <request>
    Then the story <shows> "<text>"

    Examples:
      | request | shows      | text                                          |
      | full    | shows      | health: A zone is likely partitioned; avoiding its upstreams. zone=east |
      | full    | shows      | config: A configuration is in force. version=7 |
      | full    | hides      | version=6                                     |
      | full    | hides      | upstream=i-9                                  |
      | broken  | shows      | upstreams: An upstream is leaving. upstream=i-1 |
      | broken  | hides      | version=8                                     |

  Scenario: Lines that were kept back stand at the time of their event
    When "lagoonctl explain" is asked for broken
    Then the lines of the request come in the order "Sent.,First event.,A send failed.,Sent.,Broke off."

  Scenario: Lines of a collector are read, and foreign ones counted
    Given a collector puts its own time before each line, and lines of its own
    When "lagoonctl explain" is asked for good
    Then it prints the cause "Answered after 0.9 s."
    And it reports on standard error "2 lines are no log lines"

  Scenario Outline: What can't be explained is said
    When "lagoonctl explain" is asked for <request> in <files>
    Then it exits with <status> and reports an error with "<error>"

    Examples:
      | request | files        | status | error                          |
      | nothing | the logs     | 9      | no line has the request 'nothing' |
      | good    | a missing file | 2    | No such file                   |

  Scenario: The story as JSON
    When "lagoonctl explain" is asked for good as JSON
    Then its JSON has the request good with 3 lines
