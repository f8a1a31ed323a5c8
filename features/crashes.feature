Feature: Requests that crash their upstreams are quarantined

  Scenario Outline: Which events quarantine a request
    Given the crash tracker of a node
    When these events come: <events>
    Then the request "bad" is <result>

    Examples:
      | events                                                                                     | result  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended                                           | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3                           | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended                  | refused |
      | bad fails on 1, bad fails on 2, bad fails on 3, 1 ended, 2 ended, 3 ended                  | refused |
      | bad fails on 1, 1 ended, bad fails on 1, 1 ended, 1 ended                                  | served  |
      | 1 ended, 2 ended, 3 ended                                                                  | served  |
      | bad fails on 1, 1 running, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended       | served  |
      | bad fails on 1, 7 s pass, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended        | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, peer reports crash 3                     | refused |
      | peer reports crash 1, peer reports crash 2, peer reports crash 3                           | refused |
      | peer reports crash 1, peer reports crash 2, bad is answered, peer reports crash 3          | served  |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended, 599 s pass      | refused |
      | bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended, 601 s pass      | served  |
      | good fails on 1, bad fails on 1, 1 ended, bad fails on 2, 2 ended, bad fails on 3, 3 ended | refused |

  # A part was never found if the engines that it crashed came back under their names: a
  # crash of a later run replaced that of the earlier one. A run is written NAME@START.
  Scenario Outline: Each run of an upstream that starts again under its name is another crash
    Given the crash tracker of a node
    When these events come: <events>
    Then the request "bad" is <result>

    Examples:
      | events                                                                                         | result  |
      | bad crashes 1@1, bad crashes 1@2, bad crashes 1@3                                              | refused |
      | bad crashes 1@1, bad crashes 1@1, bad crashes 1@1                                              | served  |
      | bad crashes 1@1, peer reports crash 1@2, peer reports crash 1@3                                | refused |
      | bad crashes 1@1, bad crashes 1@2, bad fails on 1@3, 1@3 running, 1 ended                       | served  |
      | bad crashes 1@1, bad crashes 1@2, bad fails on 1@3, 1@4 running, 1 ended                       | refused |
      | bad crashes 1@1, bad crashes 1@2, bad fails on 1@3, 1@3 took its place                         | served  |
      | bad crashes 1@1, bad crashes 1@2, bad fails on 1@3, 1@4 took its place                         | refused |

    Examples: peers of an earlier version report no start
      | events                                                                                         | result  |
      | bad crashes 1@1, bad crashes 2@1, peer reports crash 1, peer reports crash 2                   | served  |
      | peer reports crash 1, peer reports crash 2, bad crashes 1@1, bad crashes 2@1                   | served  |
      | bad crashes 1@1, bad crashes 2@1, peer reports crash 3                                         | refused |

  # An engine that was back before a probe found it down was taken for one that had run on.
  Scenario Outline: The row of an upstream that started again confirms its crashes
    Given a node that lists an upstream with the start <listed>
    When a request breaks off on it, and its row has the start <started>
    Then <count> crashes are confirmed

    Examples: 0 is not reported
      | listed | started | count |
      | 5      | 6       | 1     |
      | 5      | 5       | 0     |
      | 5      | 4       | 0     |
      | 5      | 0       | 0     |
      | 0      | 6       | 0     |

  Scenario Outline: A request is retried until its attempts failed on three upstreams
    Given the crash tracker of a node
    When these events come: <events>
    Then "bad" <may> be retried

    Examples:
      | events                                                  | may     |
      | bad fails on 1, bad fails on 2                          | may     |
      | bad fails on 1, 1 ended, bad fails on 2, bad fails on 3 | may not |
      | bad fails on 1, 1 ended, bad fails on 1, bad fails on 1 | may     |
      | good fails on 1, good fails on 2, good fails on 3       | may     |

  # A request is written DIGEST+PART+PART, with the shared parts of its prompt.
  Scenario Outline: Which part of prompts is found to crash upstreams
    Given the crash tracker of a node
    When these events come: <events>
    Then <refused> are refused, and <served> are served

    Examples: the part is in all crashes
      | events                                                                                             | refused    | served       |
      | a+p crashes 1@1, 1 s pass, b+p crashes 1@2, 1 s pass, c+p crashes 1@3, 1 s pass                    | d+p, d+w+p | d+x          |
      | a+p+x crashes 1, 1 s pass, b+p+y crashes 2, 1 s pass, c+p+z crashes 3, 1 s pass                    | d+p, d+w+p | d+x, d+y+z   |
      | a+p+x crashes 1, 1 s pass, b+p+y crashes 2, 1 s pass                                               | none       | d+p          |
      | a+p crashes 1, 1 s pass, b+p crashes 1, 1 s pass, c+p crashes 1, 1 s pass                          | none       | d+p          |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 0.5 s pass                        | none       | d+p          |
      | peer reports a+p on 1 5 s ago, peer reports b+p on 2 4 s ago, peer reports c+p on 3 3 s ago        | d+p        | d+x          |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 597 s pass                        | d+p        | d+x          |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 601 s pass                        | none       | d+p          |

    Examples: the sound prompts beside it are not the cause
      | events                                                                                             | refused    | served       |
      | a+p+x crashes 1, 1 s pass, b+p+x crashes 2, 1 s pass, c+p+x crashes 3, 1 s pass                    | d+p+x      | d+p, d+x     |
      | a+p+x crashes 1, 1 s pass, b+p+x crashes 2, 1 s pass, c+p+x crashes 3, 1 s pass, s+x is answered   | d+p, d+p+x | d+x          |
      | a+p+x crashes 1, 1 s pass, b+p+x crashes 2, 1 s pass, c+p+x crashes 3, 1 s pass, d+p crashes 4, 1 s pass | d+p  | d+x          |
      | s+x fails on 1, a+p crashes 1, 1 s pass, s+x fails on 2, b+p crashes 2, 1 s pass, s+x fails on 3, c+p crashes 3, 1 s pass, d+p crashes 4, 1 s pass | e+p, s+x | d+x |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, d+p is answered, c+p crashes 3, 1 s pass         | none       | d+p          |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 1 s pass, d+p is answered         | none       | d+p          |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, peer answered d+p 0.5 s ago, 1 s pass | none   | d+p          |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, peer answered d+p 3 s ago, 1 s pass | d+p      | d+x          |
      | d+p is answered, peer reports a+p on 1 5 s ago, peer reports b+p on 2 4 s ago, peer reports c+p on 3 3 s ago | none | d+p      |

    Examples: many upstreams end at once for another reason
      | events                                                                                             | refused    | served       |
      | a+p crashes 1, a+p crashes 2, b+p crashes 3, b+p crashes 4, 2 s pass                               | none       | d+p          |
      | a+p crashes 1, b+p crashes 2, 9 s pass, a+p crashes 3, b+p crashes 4, 2 s pass                     | none       | d+p          |
      | a+p crashes 1, b+p crashes 2, 1 s pass, c+p crashes 3, 1 s pass, d+p crashes 4, 1 s pass           | e+p        | d+x          |
      | a+p crashes 1, b+x crashes 2, c+y crashes 3, 1 s pass, d+p crashes 4, 1 s pass, e+p crashes 5, 1 s pass | none  | f+p, f+x     |

    # Five upstreams that ended within 0.2 s were taken for a common failure, whatever went on.
    Examples: five upstreams end in one burst
      | events                                                                                             | refused    | served       |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.5 s pass, s+x is answered, 1 s pass | f+p | f+x |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 2 s pass                | none       | f+p          |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.1 s pass, s+x is answered, 2 s pass | none | f+p |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 1.5 s pass, s+x is answered, 1 s pass | none | f+p |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.5 s pass, s+p is answered, 1 s pass | none | f+p |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.5 s pass, s is answered, 1 s pass | none | f+p |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, 0.5 s pass, s+x is answered, 1 s pass  | none       | f+p          |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, f+y crashes 6, 0.5 s pass, s+x is answered, 1 s pass | none | g+p |
      | a+p+x crashes 1, b+p+x crashes 2, c+p+x crashes 3, d+p+x crashes 4, e+p+x crashes 5, 0.5 s pass, s+x is answered, 1 s pass | f+p | f+x |

    Examples: two parts crash upstreams
      | events                                                                                             | refused    | served       |
      | a+p crashes 1, 1 s pass, b+q crashes 2, 1 s pass, c+p crashes 3, 1 s pass, d+q crashes 4, 1 s pass, e+p crashes 5, 1 s pass, f+q crashes 6, 1 s pass | g+p, g+q | g+x |
      | a+p crashes 1, b+p crashes 2, c+q crashes 3, d+q crashes 4, e+q crashes 5, 0.3 s pass, f+q crashes 6, g+q crashes 7, h+p crashes 8, i+p crashes 9, j+p crashes 10, 2 s pass | k+p, k+q | k+x |

    # A request under which three engines had ended was served again when the same crashes
    # counted for a second one, since a request was refused only if it was both.
    Examples: requests that are always on the same upstreams
      | events                                                                                             | refused    | served       |
      | a+p fails on 1, b+p fails on 1, 1 ended, a+p fails on 2, b+p fails on 2, 2 ended, a+p fails on 3, b+p fails on 3, 3 ended | a+p, b+p | c+p |
      | a+p fails on 1, b+p fails on 1, 1 ended, a+p fails on 2, b+p fails on 2, 2 ended, a+p fails on 3, b+p fails on 3, 3 ended, a+p crashes 4 | a+p, b+p | c+p |
      | a+p fails on 1, b+p fails on 1, 1 ended, a+p fails on 2, b+p fails on 2, 2 ended, a+p fails on 3, b+p fails on 3, 3 ended, b+p is answered | a+p | b+p, c+p |
      | a+x fails on 1, c+y fails on 1, 1 ended, a+x fails on 2, c+y fails on 2, 2 ended, a+x fails on 3, c+y fails on 3, 3 ended, a+x fails on 4, c+y fails on 4, 4 ended, 1 s pass | a+x, c+y | d+x, d+y |
      | a fails on 1, s+q fails on 1, 1 ended, 1 s pass, a fails on 2, t+q fails on 2, 2 ended, 1 s pass, a fails on 3, u+q fails on 3, 3 ended, 1 s pass | a | d+q |
      | a fails on 1, s+q fails on 1, 1 ended, 1 s pass, a fails on 2, t+q fails on 2, 2 ended, 1 s pass, a fails on 3, u+q fails on 3, 3 ended, 1 s pass, v+q crashes 4, 1 s pass | a, d+q | d |
      | a fails on 1, c fails on 1, 1 ended, a fails on 2, c fails on 2, 2 ended, a crashes 3, c crashes 4 | a, c | d |

  # Of two requests with the same crashes, one is sound, and only an answer can show it.
  Scenario Outline: What the crashes can't tell apart is tried
    Given the crash tracker of a node
    When these events come: <events>
    Then <tried> may be tried now, and <held> may not

    Examples: another cause explains the crashes
      | events                                                                                             | tried | held |
      | a fails on 1, b fails on 1, 1 ended, a fails on 2, b fails on 2, 2 ended, a fails on 3, b fails on 3, 3 ended | a, b | none |
      | a crashes 1, a crashes 2, a crashes 3, 59 s pass                                                   | none  | a    |
      | a crashes 1, a crashes 2, a crashes 3, 61 s pass                                                   | a     | none |
      | a+p crashes 1, a+p crashes 2, a+p crashes 3, 2 s pass                                              | none  | a+p  |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 9 s pass                          | none  | d+p  |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 11 s pass                         | d+p   | none |
      | a crashes 1, a crashes 2, a crashes 3, c crashes 4, c crashes 5, c crashes 6                       | none  | a, c |
      | a fails on 1, b fails on 1, 1 ended, a fails on 2, b fails on 2, 2 ended, a crashes 3, b crashes 4 | a, b  | none |
      | s+x fails on 1, a+p crashes 1, 1 s pass, s+x fails on 2, b+p crashes 2, 1 s pass, s+x fails on 3, c+p crashes 3, 1 s pass, d+p crashes 4, 1 s pass | s+x, e+p | s+p |
      | s+x fails on 1, a+p crashes 1, 1 s pass, s+x fails on 2, b+p crashes 2, 1 s pass, s+x fails on 3, c+p crashes 3, 1 s pass, d+p crashes 4, 1 s pass, e+p crashes 5, 1 s pass, f+p crashes 6, 1 s pass | s+x | g+p |

    Examples: five upstreams end in one burst
      | events                                                                                             | tried | held |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.5 s pass, s+x is answered, 1 s pass | f+p | none |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.5 s pass, s+x is answered, 1 s pass, f+p is tried on 6, f+p crashes 6, 9 s pass | none | f+p |

    Examples: a part that other parts share explains the crashes of both
      | events                                                                                             | tried | held |
      | a+x+p crashes 1, 0.3 s pass, b+x+q crashes 2, 0.3 s pass, c+x+p crashes 3, 0.3 s pass, d+x+q crashes 4, 0.3 s pass, e+x+p crashes 5, 0.3 s pass, f+x+q crashes 6, 1 s pass | s+x | t+x+p |
      | a+x+p crashes 1, 0.3 s pass, b+x+q crashes 2, 0.3 s pass, c+x+r crashes 3, 0.3 s pass, d+x+s crashes 4, 1 s pass | none | s+x |

    # A trial that found no engine running counted as one that had ended an engine.
    Examples: the engine of a trial had ended before
      | events                                                                                             | tried | held |
      | a crashes 1, a crashes 2, a crashes 3, 61 s pass, a is tried on 3, 4 s pass                        | none  | a    |
      | a crashes 1, a crashes 2, a crashes 3, 61 s pass, a is tried on 3, 6 s pass                        | a     | none |
      | a crashes 1, a crashes 2, a crashes 3, 61 s pass, a is tried on 4, a crashes 4, 44 s pass          | none  | a    |
      | a+p crashes 1, 1 s pass, b+p crashes 2, 1 s pass, c+p crashes 3, 11 s pass, d+p is tried on 3, 6 s pass | d+p | none |

    Examples: after the same crashes of a and b on 1, 2 and 3
      | events                                                                                             | tried | held |
      | a and b crash 1 to 3, a is tried on 4                                                              | b     | a    |
      | a and b crash 1 to 3, a is tried on 4, a crashes 4, 44 s pass                                      | b     | a    |
      | a and b crash 1 to 3, a is tried on 4, a crashes 4, 46 s pass                                      | a, b  | none |
      | a and b crash 1 to 3, a is tried on 4, a fails on 4, c fails on 4, 4 ended, c crashes 5, c crashes 6, 6 s pass | a, b, c | none |
      | a and b crash 1 to 3, b is tried on 4, b is answered                                               | none  | a    |
      | a and b crash 1 to 3, a is tried on 4, 4 s pass                                                    | b     | a    |
      | a and b crash 1 to 3, a is tried on 4, 6 s pass                                                    | a, b  | none |
      | a and b crash 1 to 3, a is tried on 4, 6 s pass, a is tried on 5, 14 s pass                        | b     | a    |
      | a and b crash 1 to 3, a is tried on 4, 6 s pass, a is tried on 5, 16 s pass                        | a, b  | none |
      | a and b crash 1 to 3, peer tries a on 4                                                            | b     | a    |
      | a and b crash 1 to 3, peer tries a on 4, peer reports a on 4 0 s ago, 44 s pass                    | b     | a    |
      | a and b crash 1 to 3, peer tries a on 4, 4 s pass, peer tries a on 4, 2 s pass                     | a, b  | none |
      | a and b crash 1 to 3, peer claims a                                                                | b     | a    |
      | a and b crash 1 to 3, peer tries a on 4 as number 1000000                                          | b     | a    |
      | a and b crash 1 to 3, peer claims a, 3 s pass                                                      | a, b  | none |

  Scenario Outline: Of nodes that claim a trial at the same time, one begins
    Given a fleet of 3 trackers that know the same crashes of a and b
    When <claims> are claimed, and the claims are told to all but <lost>
    Then <begin> begins first, and then <later>

    Examples:
      | claims             | lost | begin    | later    |
      | a by n0            | none | a by n0  | nothing  |
      | a by n0, a by n1   | none | a by n0  | nothing  |
      | a by n2, a by n1   | none | a by n1  | nothing  |
      | a by n0, b by n0   | none | a by n0  | b by n0  |
      | b by n0, a by n1   | none | a by n1  | b by n0  |
      | b by n2, a by n1   | n0   | a by n1  | b by n2  |

  # A part that all prompts share was refused until a trial's whole stream had ended.
  Scenario Outline: The events of a stream show that the parts of its prompt crash nothing
    Given a node at which three upstreams ended under prompts with a part
    When one with it is answered with events after <gaps> s, and <end>
    Then the part is <state> after <at> s

    Examples:
      | gaps               | end                       | at  | state   |
      | 0.1, 0.4, 0.4, 0.6 | goes on                   | 0.7 | refused |
      | 0.1, 0.4, 0.4, 0.6 | goes on                   | 1   | served  |
      | 0.1, 0.6, 0.6, 0.6 | goes on                   | 0.8 | served  |
      | 0.1, 0.6, 0.6, 0.6 | breaks off before event 2 | 3   | refused |
      | 0.1, 0.1, 0.1, 0.1 | ends                      | 1   | served  |

  Scenario Outline: Peers are told of answers that contradict their crashes
    Given the crash tracker of a node
    When these events come: <events>
    Then <count> answers are sent to peers

    Examples:
      | events                                                                           | count |
      | a+p crashes 1, 1 s pass, d+p is answered                                         | 1     |
      | d+p is answered, a+p crashes 1                                                   | 0     |
      | d+p is answered, peer reports a+p on 1 0.3 s ago                                 | 1     |
      | a+p crashes 1, 1 s pass, d+p is answered, 2 s pass                               | 0     |
      | d+p is answered, peer reports a+p on 1 0.3 s ago, peer answered d+p 0 s ago      | 1     |
      | d+p is answered, peer reports a+p on 1 0.3 s ago, 0.1 s pass, peer answered e+p 0 s ago | 0 |

  Scenario Outline: A node that starts learns of the quarantines from its peers
    Given the crash tracker of a node
    When these events come: <events>
    Then a node that hears the evidence refuses f+p and serves f+x

    Examples:
      | events                                                                             |
      | a+p crashes 1, 1 s pass, b+p+x crashes 2, 1 s pass, c+p crashes 3, 9 s pass        |
      | a+p crashes 1, b+p crashes 2, c+p crashes 3, d+p crashes 4, e+p crashes 5, 0.5 s pass, s+x is answered, 1 s pass |

  Scenario: A crash is sent to peers for a second
    Given the crash tracker of a node
    When these events come: bad fails on 1, 1 ended
    Then 1 crashes are sent to peers
    When these events come: 2 s pass
    Then 0 crashes are sent to peers

  Scenario: The tracker is bounded and keeps the newest crashes
    Given the crash tracker of a node
    When 2000 requests crash an upstream each, and then bad crashes 3
    Then the tracker holds at most 1000 crashes and gossips at most 100
    And the request "bad" is refused

  # Its crashes were old enough to be dropped while its cause was still known, for 0.1 s.
  Scenario: A quarantine ends without an error
    Given the crash tracker of a node
    When these events come: bad crashes 1, bad crashes 2, bad crashes 3, 599.95 s pass
    Then the request "bad" is refused
    When these events come: 0.08 s pass
    Then the request "bad" is served

  Scenario Outline: Which requests have the same digest
    Given a request to /a with the body x for the account mills
    When another one <differs>
    Then their digests are <digests>

    Examples:
      | differs                  | digests   |
      | has another request id   | same      |
      | has another key          | same      |
      | goes to /b               | different |
      | has the body y           | different |
      | is for the account shops | different |
