Feature: Settings are checked all at once

  Scenario Outline: A bad setting is reported with flag, variable, value and reason
    When the node's settings have <flag> set to "<value>"
    Then the errors name <flag>, "<shown>" and "<reason>"

    Examples:
      | flag                | value        | shown        | reason                     |
      | --listen            | 127.0.0.1    | 127.0.0.1    | is not HOST:PORT           |
      | --listen            | x:99999      | x:99999      | is not HOST:PORT           |
      | --control-listen    | :80          | :80          | is not HOST:PORT           |
      | --site              | {empty}      | {empty}      | is not a name              |
      | --zone              | a b          | a b          | is not a name              |
      | --vm                | a/b          | a/b          | is not a name              |
      | --platform-url      | platform:80  | platform:80  | is not a URL               |
      | --peer              | a:1,b        | a:1,b        | is not HOST:PORT           |
      | --operator-token    | short        | {empty}      | must have at least 16      |
      | --peer-secret       | short        | {empty}      | must have at least 16      |
      | --balancer-lag-s    | -1           | -1           | must not be negative       |
      | --balancer-lag-s    | soon         | soon         | is not a number of seconds |
      | --config-poll-s     | 0            | 0            | must be greater than 0     |
      | --gossip-interval-s | nan          | nan          | must not be negative       |
      | --log-json          | maybe        | maybe        | is not true or false       |
      | --log-level         | loud         | loud         | is not one of              |
      | --tls-cert          | no-such-file | no-such-file | is not a file              |
      | --tls-ca            | no-such-file | no-such-file | is not a file              |

  Scenario: Every error is reported at once, and the process exits with status 2
    When a node process is started with three bad settings
    Then it exits with status 2 and names all three on standard error

  Scenario: A flag takes precedence over its environment variable
    When a node process is started with a bad variable and a good flag
    Then standard error does not name that setting
