Feature: Nodes of all versions understand each other's messages

  # A message or digest may change only as docs/design/upgrades.md says: new optional
  # fields, and a new record here.
  Scenario Outline: Messages of an earlier version are understood
    When a node gets the recorded messages of version <version>
    Then it understands the <messages>
    And it computes the recorded digests of that version

    Examples:
      | version | messages                                 |
      | 80af97c | load, cell, store, call_failed           |
      | 9af31e5 | load, cell, store, call_failed           |
      | e800da8 | load, cell, store, call_failed           |
      | 8a6ee49 | load, cell, store, call_failed, crashes  |
      | 3d5edd6 | load, cell, store, call_failed, crashes  |
      | present | load, cell, store, call_failed, crashes  |

  Scenario: The messages of this version are those recorded
    When a node gets the recorded messages of version present
    Then it writes the same bytes for the same content

  Scenario: An update with unknown fields is understood, one with an unknown table is not
    When a node gets an update with a field and one with a table that it does not know
    Then it takes the first and ignores the second without an end of the process
