Feature: An upstream that is leaving gets nothing new

  Scenario Outline: After "<events>" the upstream is <state>
    Given leaving marks for one upstream of generation 1
    When the marks take "<events>"
    Then that upstream is <state>

    Examples:
      | events                                                       | state   |
      | list without it                                              | staying |
      | list leaving old                                             | leaving |
      | list leaving old, list without it                            | leaving |
      | list leaving old, list live                                  | staying |
      | list leaving old, report staying 1                           | leaving |
      | report leaving 1                                             | leaving |
      | report leaving 1, report staying 1                           | staying |
      | peer says 1                                                  | leaving |
      | peer says 1, peer silent                                     | staying |
      | list leaving old, generation 2                               | staying |
      | list leaving old, generation 2, list leaving old             | staying |
      | list leaving old, generation 2, list leaving new             | leaving |
      | report leaving 1, generation 2                               | staying |
      | generation 2, report leaving 1                               | staying |
      | generation 2, report leaving 2                               | leaving |
      | peer says 1, generation 2                                    | staying |
      | generation 2, peer says 1                                    | staying |
      | generation 2, peer says 2                                    | leaving |
      | report leaving 1, removed, generation 1                      | staying |

  Scenario Outline: A large cell shares the polls out, and every engine is asked
    When the engines of a cell of <nodes> nodes, <dead> of them dead, are shared out
    Then each engine is asked by <pollers> live nodes

    Examples:
      | nodes | dead | pollers |
      | 1     | 0    | 1       |
      | 3     | 0    | 3       |
      | 3     | 2    | 1       |
      | 8     | 0    | 2       |
      | 8     | 3    | 2       |

  Scenario: A mark that a node finds itself is told to its peers at once, and once
    When an engine of a node reports twice that it is leaving
    Then the node tells its peers once, and its digest carries the mark

  Scenario Outline: Every source is acted on within 3 s by its own intervals
    Then an upstream that leaves by <source> is known everywhere within 3 s

    Examples:
      | source                  |
      | the platform's list     |
      | its own report          |
      | a peer                  |

  Scenario Outline: Nothing new goes to an upstream that leaves by <source>
    Given a running fleet of 2 nodes whose 2 engines are known to the platform
    When one engine is leaving by <source>
    Then both nodes find out, serve every request, and send it nothing new

    Examples:
      | source              |
      | the platform's list |
      | its own report      |
      | the configuration   |
