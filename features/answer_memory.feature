Feature: Answers of upstreams share a bounded memory

  Scenario Outline: The largest answers end first when memory is short
    Given answers that hold <held> MB
    When another answer grows to <size> MB
    Then that answer <outcome>

    Examples:
      | held    | size | outcome |
      | no      | 8    | goes on |
      | no      | 9    | ends    |
      | 8 8 8   | 8    | goes on |
      | 8 8 8 8 | 6    | goes on |
      | 8 8 8 8 | 7    | ends    |
