Feature: An upstream that is leaving gets no new requests

  Scenario Outline: After "<events>" the upstream is <status>
    Given leaving marks for one upstream of generation 1
    When the marks receive "<events>"
    Then that upstream is <status>

    Examples:
      | events                                           | status  |
      | list without it                                  | staying |
      | list leaving old                                 | leaving |
      | list leaving old, list without it                | leaving |
      | list leaving old, list live                      | staying |
      | list leaving old, report staying 1               | leaving |
      | report leaving 1                                 | leaving |
      | report leaving 1, report staying 1               | staying |
      | peer marks 1                                     | leaving |
      | peer marks 1, peer unmarks                       | staying |
      | list leaving old, generation 2                   | staying |
      | list leaving old, generation 2, list leaving old | staying |
      | list leaving old, generation 2, list leaving new | leaving |
      | report leaving 1, generation 2                   | staying |
      | generation 2, report leaving 1                   | staying |
      | generation 2, report leaving 2                   | leaving |
      | peer marks 1, generation 2                       | staying |
      | generation 2, peer marks 1                       | staying |
      | generation 2, peer marks 2                       | leaving |
      | report leaving 1, removed, generation 1          | staying |

  Scenario Outline: The nodes of a large cell divide the polls, and every engine is polled
    When the engines of a cell of <nodes> nodes, <down> of them down, are divided
    Then each engine is polled by <pollers> live nodes

    Examples:
      | nodes | down | pollers |
      | 1     | 0    | 1       |
      | 3     | 0    | 3       |
      | 3     | 2    | 1       |
      | 8     | 0    | 2       |
      | 8     | 3    | 2       |

  Scenario: A mark that a node detects itself is sent to its peers at once, and only once
    When an engine of a node reports twice that it is leaving
    Then the node notifies its peers once, and its digest carries the mark

  Scenario Outline: The polling intervals of every source allow detection within 3 s
    Then an upstream that leaves by <source> is detected by every node within 3 s

    Examples:
      | source              |
      | the platform's list |
      | its own report      |
      | a peer              |

  Scenario Outline: An upstream that leaves by <source> gets no new requests
    Given a running fleet of 2 nodes whose 2 engines are known to the platform
    When one engine is leaving by <source>
    Then both nodes detect it, serve every request, and send it no new requests

    Examples:
      | source              |
      | the platform's list |
      | its own report      |
      | the configuration   |
