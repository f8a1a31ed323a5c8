Feature: Configuration files are checked as a whole

  Scenario Outline: A bad configuration is refused with file, key and reason
    Given the example configuration of perth
    When <file> gets the line "<line>" in table "<table>"
    Then the check reports <file>, key "<key>" and "<reason>"

    Examples: Keys and values
      | file             | table                       | line                  | key                                          | reason                            |
      | base.toml        | services.assistant          | time_bound_ms = 3     | services.assistant.time_bound_ms             | did you mean 'time_bound'         |
      | base.toml        | limits                      | max_body_bytes = -1   | limits.max_body_bytes                        | -1                                |
      | base.toml        | limits                      | max_body_bytes = "1M" | limits.max_body_bytes                        | Expected `int`                    |
      | base.toml        | retries2                    | x = 1                 | retries2                                     | did you mean 'retries'            |
      | sites/perth.toml | services.assistant.placement | kind = "random"      | services.assistant.placement.kind            | must be one of round_robin        |
      | sites/perth.toml | accounts.new                | weight = 1.0          | accounts.new.key_sha256                      | is missing                        |
      | sites/perth.toml | accounts.new                | key_sha256 = "abc"    | accounts.new.key_sha256                      | 'abc'                             |
      | sites/perth.toml | accounts.tube-mills         | weight = 0.0          | accounts.tube-mills.weight                   | 0.0                               |
      | sites/perth.toml | upstreams.engine-00         | kv_tokens = 0         | upstreams.engine-00.kv_tokens                | must be set for a model engine    |
      | sites/perth.toml | upstreams.engine-00         | zone = "lagos-east"   | upstreams.engine-00.zone                     | no zone 'lagos-east'              |
      | sites/perth.toml | upstreams.engine-00         | service = "none"      | upstreams.engine-00.service                  | no service 'none'                 |
      | sites/perth.toml | upstreams.engine-00         | url = "127.0.0.1:1"   | upstreams.engine-00.url                      | '127.0.0.1:1'                     |
      | sites/perth.toml | upstreams.engine-00         | url = "http://127.0.0.1:21001" | upstreams.engine-01.url             | is already used by 'engine-00'    |
      | sites/perth.toml | desired.nothing             | version = "1"         | desired.nothing                              | no model service 'nothing'        |
      | sites/perth.toml | services.second             | kind = "model"        | services.second.model                        | is missing                        |
      | base.toml        | broken                      | x = = 1               | (syntax)                                     | line                              |

  Scenario: Every error is reported at once
    Given the example configuration of perth
    When base.toml gets the line "max_body_bytes = -1" in table "limits"
    And sites/perth.toml gets the line "weight = 0.0" in table "accounts.tube-mills"
    Then the check finds 2 errors

  Scenario Outline: The example configurations are valid
    Then the example of <site> has <accounts> accounts and <upstreams> upstreams

    Examples:
      | site  | accounts | upstreams |
      | perth | 10       | 19        |
      | lagos | 10       | 27        |

  Scenario: An overlay overrides the base file
    Given the example configuration of perth
    When base.toml gets the line "max_body_bytes = 1000" in table "limits"
    And sites/perth.toml gets the line "max_body_bytes = 2000" in table "limits"
    Then the site's max_body_bytes is 2000

  Scenario: The configuration reference lists exactly the keys of the code
    Then docs/CONFIGURATION.md lists every key once, and no other
