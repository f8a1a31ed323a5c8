Feature: The operator command line

  Scenario: Files are checked, accepted, shown and compared
    Given a fleet with a configuration in force
    Then "config check FOLDER" exits with 0 and prints "ok: sites perth"
    And "config show" exits with 0 and prints "version 1"
    And "config diff FOLDER" exits with 0 and prints ""
    When the operator sets the weight of tube-mills to 9.0
    Then "config diff FOLDER" exits with 0 and prints "+weight = 9.0"
    And "config apply FOLDER" exits with 0 and prints "in force: perth"
    And "config show --json" exits with 0 and prints ""version": 2"

  Scenario: A drained upstream gets no new requests, also after files are applied again
    Given a fleet with a configuration in force
    Then "drain engine-0" exits with 0 and prints "in force: perth"
    And "config apply FOLDER" exits with 0 and prints "in force: perth"
    And every request runs on engine-1
    And "undrain engine-0" exits with 0 and prints "in force: perth"
    And "drain engine-1" exits with 0 and prints "in force: perth"
    And every request runs on engine-0
    And "undrain engine-1" exits with 0 and prints "in force: perth"

  Scenario Outline: Errors go to standard error with their own exit status
    Given a fleet with a configuration in force
    Then "<command>" exits with <status> and reports "<error>"

    Examples:
      | command                                          | status | error                            |
      | config check nowhere                             | 3      | base.toml                        |
      | config show --platform-url x                     | 2      | --platform-url (LAGOONHINGE_PLATFORM_URL): 'x' is not a URL |
      | config show --platform-url http://127.0.0.1:1    | 6      | the row was not read             |
      | drain nothing                                    | 2      | there is no upstream 'nothing'   |
      | undrain engine-1                                 | 2      | was not drained                  |
      | state --operator-token wrong                     | 8      | status 401                       |
      | nodes --nodes 127.0.0.1:1                        | 8      | 127.0.0.1:1: did not answer      |
      | state --nodes ,                                  | 2      | no node is named                 |

  Scenario: A frozen node is reported within 3 seconds
    Given a fleet with a configuration in force
    When one of its nodes is frozen
    Then "state" and "nodes" report it within 2 seconds of their start and show the others
