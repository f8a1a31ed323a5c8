Feature: The adapter translates the platform's names and reports invalid input

  Scenario Outline: An invalid setting in the platform's file is reported
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

  Scenario Outline: A separate port for operators can be set
    When the variable for the metrics port is "<port>"
    Then the operator address is <address>, or the errors name the variable with "<reason>"

    Examples:
      | port  | address        | reason         |
      |       | 127.0.0.1:3    |                |
      | 9464  | 127.0.0.1:9464 |                |
      | many  | none           | is not a range |
      | 70000 | none           | is not a range |

  Scenario Outline: The shortest bound sets how often the store is read
    When the platform's settings have <key> set to "<value>"
    Then changes are in force within <seconds> s

    Examples:
      | key             | value | seconds |
      | bounds.configMs | 1500  | 1.5     |
      | bounds.drainMs  | 1000  | 1       |
      | bounds.revokeMs | 1600  | 0.8     |

  Scenario: Unknown settings are ignored and every error is reported
    When the platform's settings are "new.field=1" alone
    Then the settings errors name node, ip, zone and listen.front

  # A deeply nested entry ended the reading of all entries.
  Scenario Outline: An unusable entry of a worker yields no upstream
    When a worker's entry has <change>
    Then the entry yields <result>

    Examples:
      | change               | result          |
      | nothing changed      | a ready one     |
      | a draining state     | a leaving one   |
      | an unknown state     | none            |
      | no address           | none            |
      | an address as number | none            |
      | no slots             | none            |
      | invalid JSON         | none            |
      | invalid base64       | none            |
      | deeply nested lists  | none            |
      | a deeply nested unknown field | none   |
      | slots too large      | none            |
      | negative slots       | none            |
      | a start time too large | none          |
      | a cold time too large | none           |
      | a port out of range  | none            |
      | a port of 5000 digits | none           |
      | a port in other digits | none          |
      | a host name          | none            |
      | a host name too long | none            |
      | an abbreviated address | none          |
      | base64 beyond ASCII  | none            |
      | an unknown field     | a ready one     |
      | no start time        | a ready one     |

  # A message to a host name that is too long closes the socket for messages to all nodes.
  Scenario Outline: An unusable entry of a node yields no node
    When a node's entry has the address <address>
    Then the entry yields <result>

    Examples:
      | address          | result       |
      | 10.0.0.1:80      | a node       |
      | 10.0.0.1:70000   | none         |
      | a.node:80        | none         |
      | 300 letters:80   | none         |

  Scenario Outline: An invalid configuration is refused with the location of the error
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
      | Lagoonhinge-Prompt-Prefix: 5c1e:800,91bd:410,e440:250 | reads the shared parts 5c1e 91bd |
      | Lagoonhinge-Prompt-Prefix: 5C1E:8, 91bd:4,5c1e:2,e4:2 | reads the shared parts 5c1e 91bd |
      | Lagoonhinge-Prompt-Prefix: 5c1e:800 | reads no shared parts  |
      | Lagoonhinge-Prompt-Prefix: ,:,      | reads no shared parts  |
      | Authorization: bearer abc           | reads the key abc      |
      | Authorization: Basic abc            | reads no key           |
      | Connection: keep-alive, X-Hop       | drops X-Hop            |
      | Lagoonhinge-Tenant: forged          | drops Lagoonhinge-Tenant |
      | Lagoonhinge-Helpers: 10.0.0.1:1     | drops Lagoonhinge-Helpers |
      | Transfer-Encoding: chunked          | drops Transfer-Encoding |
      | X-Anything: kept                    | keeps X-Anything       |

  Scenario Outline: The limit that an answer names
    When an answer has the limit headers <headers>
    Then its limit reads as <limit>

    Examples:
      | headers        | limit      |
      | none           | none       |
      | 1.5            | 1.5        |
      | 0              | 0          |
      | 4, 2.5         | 2.5        |
      | 1000000        | 1000000    |
      | many           | unreadable |
      | -1             | unreadable |
      | nan            | unreadable |
      | 1e3            | unreadable |
      | 1, many        | unreadable |

  Scenario: Only the adapter, its deployment and its tests use the platform's names
    Then no other source contains a header, a path or a table name of the platform

  Scenario: The adapter's directory does not shadow the standard library's module
    Then the module "platform" is the standard library's

  Scenario: A node exits at start if settings are missing, and names them
    When a node on the platform is started with an empty settings file
    Then the node exits with status 2, naming node and listen.front
