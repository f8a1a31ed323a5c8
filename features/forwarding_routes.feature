Feature: Routes are found by host and longest prefix, and split by weight

  Scenario Outline: The route of a request
    Given routes of a host with prefixes /a/, /a/b/ and /c/
    When a request for <host> <target> arrives
    Then its route is <route>

    Examples:
      | host              | target      | route |
      | desk.example      | /a/x        | /a/   |
      | desk.example      | /a/b/x      | /a/b/ |
      | desk.example      | /a/b/       | /a/b/ |
      | desk.example      | /a/b        | /a/   |
      | desk.example      | /a/bb/x     | /a/   |
      | desk.example      | /c/a/b/x    | /c/   |
      | desk.example      | /a          | none  |
      | desk.example      | /           | none  |
      | desk.example      | /d/x?q=/a/  | none  |
      | desk.example      | /a/x?q=/b/  | /a/   |
      | DESK.example:8080 | /a/x        | /a/   |
      | other.example     | /a/x        | none  |

  Scenario Outline: A split gives each service its share
    Given a route that is split as <split>
    When a request arrives at the point <point> of the split
    Then the split sends it to <service>

    Examples:
      | split       | point | service |
      | new:90 old:10 | 0.0 | new     |
      | new:90 old:10 | 0.89 | new    |
      | new:90 old:10 | 0.91 | old    |
      | new:0 old:1   | 0.0 | old     |
      | new:1 old:0   | 0.999 | new   |
      | only:3        | 0.999 | only  |
