Feature: The adapter translates the platform's words and says what it can't read

  Scenario Outline: A bad setting of the platform's file is named
    When the platform's settings have <key> set to "<value>"
    Then the settings errors name <key> and "<reason>"

    Examples:
      | key              | value       | reason               |
      | node             |             | is missing           |
      | listen.front     |             | is missing           |
      | listen.front     | 127.0.0.1   | is not HOST:PORT     |
      | listen.ready     | x:99999     | is not HOST:PORT     |
      | platform.address | store       | is not HOST:PORT     |
      | portRange        | many        | is not a range       |
      | bounds.revokeMs  |             | is missing           |
      | bounds.revokeMs  | soon        | is not a number      |
      | bounds.graceS    | -1          | must not be negative |

  Scenario Outline: Operators may have a port of their own
    When the variable for the metrics port is "<port>"
    Then operators ask at <address>, or the errors name it with "<reason>"

    Examples:
      | port  | address        | reason         |
      |       | 127.0.0.1:3    |                |
      | 9464  | 127.0.0.1:9464 |                |
      | many  | nowhere        | is not a range |
      | 70000 | nowhere        | is not a range |

  Scenario: Unknown settings are ignored and every error is reported
    When the platform's settings are "new.field=1" alone
    Then the settings errors name node, ip, zone and listen.front

  Scenario Outline: An entry of a worker that can't be used names no upstream
    When a worker's entry has <change>
    Then the entry names <result>

    Examples:
      | change               | result          |
      | nothing changed      | a ready one     |
      | a draining state     | a leaving one   |
      | an unknown state     | none            |
      | no address           | none            |
      | an address as number | none            |
      | no slots             | none            |
      | bytes that are no JSON | none          |
      | a value not in base64  | none          |
      | an unknown field     | a ready one     |
      | no start             | a ready one     |

  Scenario Outline: A configuration that can't be read is refused with the place
    When a configuration has <change>
    Then the configuration is refused with "<reason>"

    Examples:
      | change               | reason       |
      | an unknown kind      | unknown kind |
      | a route without host | host         |
      | no limits            | limits       |
      | a version as text    | version      |

  Scenario Outline: Headers of a client's request
    When a request comes with <header>
    Then the adapter <effect>

    Examples:
      | header                              | effect                 |
      | Lagoonhinge-Deadline-Ms: 2500       | reads a limit of 2.5 s |
      | Lagoonhinge-Deadline-Ms: soon       | reads no limit         |
      | Lagoonhinge-Token-Counts: 4960,100  | reads 4960 prompt tokens |
      | Lagoonhinge-Token-Counts: many      | reads no size          |
      | Authorization: bearer abc           | reads the key abc      |
      | Authorization: Basic abc            | reads no key           |
      | Connection: keep-alive, X-Hop       | drops X-Hop            |
      | Lagoonhinge-Tenant: forged          | drops Lagoonhinge-Tenant |
      | Lagoonhinge-Helpers: 10.0.0.1:1     | drops Lagoonhinge-Helpers |
      | Transfer-Encoding: chunked          | drops Transfer-Encoding |
      | X-Anything: kept                    | keeps X-Anything       |

  Scenario: The platform's names stand in the adapter, its deployment and its tests only
    Then no other source names a header, a path or a table of the platform

  Scenario: The folder of the adapter does not hide the standard library's module
    Then the module "platform" is the standard library's

  Scenario: Nodes are started with exact errors
    When a node on the platform is started with a settings file that is empty
    Then the node exits with status 2, naming node and listen.front
