Feature: A request is explained from the logs of all nodes

  Background:
    Given recorded logs of two nodes

  Scenario Outline: The cause of a request's end
    When "lagoonctl explain" is asked for <request>
    Then it prints the cause "<cause>"
    And it prints <lines> lines of the request

    Examples:
      | request | lines | cause                                                                       |
      | full    | 5     | Refused and not run: 2 attempts reached no upstream or were declined        |
      | broken  | 5     | The stream was interrupted: Lost(reason='reset')                            |
      | open    | 3     | Failed, but may have run; the outcome is unknown: Lost(reason='reset')      |
      | late    | 2     | The deadline passed after it was sent to i-1; it may have run.              |
      | never   | 1     | The deadline passed before it was sent; it did not run.                     |
      | stale   | 1     | Not admitted, status 503: the configuration is stale                        |
      | good    | 3     | Answered after 0.9 s.                                                       |
      | closed  | 2     | Refused and not run: no upstream had capacity.                              |
      | cut     | 1     | The logs do not show how it ended                                           |

  Scenario Outline: The state of a node is shown with the request
    When "lagoonctl explain" is asked for <request>
    Then the output <shows> "<text>"

    Examples:
      | request | shows      | text                                          |
      | full    | shows      | health: A zone seems to be cut off. zone=east |
      | full    | shows      | config: A configuration is in force. version=7 |
      | full    | hides      | version=6                                     |
      | full    | hides      | upstream=i-9                                  |
      | broken  | shows      | upstreams: An upstream is leaving. upstream=i-1 |
      | broken  | hides      | version=8                                     |
      | closed  | shows      | upstreams: An upstream says that it leaves. upstream=i-7 |
      | closed  | shows      | upstreams: A peer was told that an upstream leaves. upstream=i-6 |
      | closed  | shows      | upstreams: An upstream wants no requests for a time. upstream=i-8 pause_s=4.0 |
      | closed  | shows      | upstreams: An upstream changed the limit of its requests. upstream=i-8 per_s=0.5 |
      | closed  | shows      | store: The store came back from an older copy. era=2 |
      | again   | shows      | upstreams: An upstream says that it leaves. upstream=i-7 |
      | again   | hides      | upstream=i-8                                  |
      | good    | hides      | era=2                                         |

  Scenario: Lines that were logged late are sorted by the time of their event
    When "lagoonctl explain" is asked for broken
    Then the lines of the request come in the order "Sent.,First event.,A send failed.,Sent.,Broke off."

  Scenario: Lines with a prefix of a log collector are read, and other lines are counted
    Given a log collector adds a prefix to each line, and lines of its own
    When "lagoonctl explain" is asked for good
    Then it prints the cause "Answered after 0.9 s."
    And it reports on standard error "2 lines are not log lines"

  Scenario Outline: A request that can't be explained is an error
    When "lagoonctl explain" is asked for <request> in <files>
    Then it exits with <status> and reports an error with "<error>"

    Examples:
      | request | files        | status | error                          |
      | nothing | the logs     | 9      | no log line has the request 'nothing' |
      | good    | a missing file | 2    | No such file                   |

  Scenario: The explanation as JSON
    When "lagoonctl explain" is asked for good as JSON
    Then its JSON has the request good with 3 lines
