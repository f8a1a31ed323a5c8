Feature: A part of prompts that crashes upstreams is quarantined

  # Requests with a part under which five engines had ended reached engines 31 times more.
  Scenario Outline: Prompts with a part that crashes workers stop reaching them
    Given <nodes> nodes on the platform with <workers> workers for models
    When sound prompts and ones with a <place> part that crashes workers are sent for 11 s
    Then from 3 s after the fifth crash on, at most 3 workers crash
    And from 6 s after it on, every sound prompt is answered

    Examples:
      | nodes | workers | place |
      | 1     | 12      | first |
      | 3     | 12      | later |
