Feature: At-most-once execution under every fault at every step

  Scenario Outline: <fault> at <step>
    Given two simulated nodes with a table and a plain service
    When a keyed call is sent with <fault> at step <step>
    Then the call returns <first>, an early repeat <second>, and a late repeat <third>
    And the service executed it <runs> times

    Examples:
      | fault                  | step            | first                     | second                  | third                   | runs |
      | table down             | before claim    | store_unavailable not-run | answer                  | replay                  | 1 |
      | table down             | claim write     | store_unavailable not-run | answer                  | replay                  | 1 |
      | table down             | before dispatch | answer                    | replay                  | replay                  | 1 |
      | table down             | dispatch        | answer                    | replay                  | replay                  | 1 |
      | table down             | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | table down             | outcome write   | answer                    | replay                  | replay                  | 1 |
      | table down             | replay          | store_unavailable not-run | replay                  | replay                  | 1 |
      | table slow             | before claim    | store_unavailable not-run | answer                  | replay                  | 1 |
      | table slow             | claim write     | store_unavailable not-run | answer                  | replay                  | 1 |
      | table slow             | before dispatch | answer                    | replay                  | replay                  | 1 |
      | table slow             | dispatch        | answer                    | replay                  | replay                  | 1 |
      | table slow             | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | table slow             | outcome write   | answer                    | replay                  | replay                  | 1 |
      | table slow             | replay          | store_unavailable not-run | replay                  | replay                  | 1 |
      | reply lost             | before claim    | answer                    | replay                  | replay                  | 1 |
      | reply lost             | claim write     | answer                    | replay                  | replay                  | 1 |
      | reply lost             | before dispatch | answer                    | replay                  | replay                  | 1 |
      | reply lost             | dispatch        | answer                    | replay                  | replay                  | 1 |
      | reply lost             | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | reply lost             | outcome write   | answer                    | replay                  | replay                  | 1 |
      | reply lost             | replay          | replay                    | replay                  | replay                  | 1 |
      | reply lost, write late | before claim    | answer                    | replay                  | replay                  | 1 |
      | reply lost, write late | claim write     | answer                    | replay                  | replay                  | 1 |
      | reply lost, write late | before dispatch | answer                    | replay                  | replay                  | 1 |
      | reply lost, write late | dispatch        | answer                    | replay                  | replay                  | 1 |
      | reply lost, write late | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | reply lost, write late | outcome write   | answer                    | replay                  | replay                  | 1 |
      | reply lost, write late | replay          | replay                    | replay                  | replay                  | 1 |
      | connection silent      | before claim    | answer                    | replay                  | replay                  | 1 |
      | connection silent      | claim write     | answer                    | replay                  | replay                  | 1 |
      | connection silent      | before dispatch | answer                    | in_progress unknown     | replay                  | 1 |
      | connection silent      | dispatch        | answer                    | in_progress unknown     | replay                  | 1 |
      | connection silent      | after dispatch  | answer                    | in_progress unknown     | replay                  | 1 |
      | connection silent      | outcome write   | answer                    | in_progress unknown     | replay                  | 1 |
      | connection silent      | replay          | replay                    | replay                  | replay                  | 1 |
      | upstream refuses       | before claim    | answer                    | replay                  | replay                  | 1 |
      | upstream refuses       | claim write     | answer                    | replay                  | replay                  | 1 |
      | upstream refuses       | before dispatch | answer                    | replay                  | replay                  | 1 |
      | upstream refuses       | dispatch        | answer                    | replay                  | replay                  | 1 |
      | upstream refuses       | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | upstream refuses       | outcome write   | answer                    | replay                  | replay                  | 1 |
      | upstream refuses       | replay          | replay                    | replay                  | replay                  | 1 |
      | all upstreams refuse   | before claim    | upstream_failed not-run   | answer                  | replay                  | 1 |
      | all upstreams refuse   | claim write     | upstream_failed not-run   | answer                  | replay                  | 1 |
      | all upstreams refuse   | before dispatch | upstream_failed not-run   | answer                  | replay                  | 1 |
      | all upstreams refuse   | dispatch        | upstream_failed not-run   | answer                  | replay                  | 1 |
      | all upstreams refuse   | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | all upstreams refuse   | outcome write   | answer                    | replay                  | replay                  | 1 |
      | all upstreams refuse   | replay          | replay                    | replay                  | replay                  | 1 |
      | upstream unreachable   | before claim    | answer                    | replay                  | replay                  | 1 |
      | upstream unreachable   | claim write     | answer                    | replay                  | replay                  | 1 |
      | upstream unreachable   | before dispatch | answer                    | replay                  | replay                  | 1 |
      | upstream unreachable   | dispatch        | answer                    | replay                  | replay                  | 1 |
      | upstream unreachable   | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | upstream unreachable   | outcome write   | answer                    | replay                  | replay                  | 1 |
      | upstream unreachable   | replay          | replay                    | replay                  | replay                  | 1 |
      | upstream silent        | before claim    | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | upstream silent        | claim write     | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | upstream silent        | before dispatch | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | upstream silent        | dispatch        | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | upstream silent        | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | upstream silent        | outcome write   | answer                    | replay                  | replay                  | 1 |
      | upstream silent        | replay          | replay                    | replay                  | replay                  | 1 |
      | cut before execution   | before claim    | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | cut before execution   | claim write     | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | cut before execution   | before dispatch | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | cut before execution   | dispatch        | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 0 |
      | cut before execution   | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | cut before execution   | outcome write   | answer                    | replay                  | replay                  | 1 |
      | cut before execution   | replay          | replay                    | replay                  | replay                  | 1 |
      | cut after execution    | before claim    | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 1 |
      | cut after execution    | claim write     | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 1 |
      | cut after execution    | before dispatch | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 1 |
      | cut after execution    | dispatch        | upstream_failed unknown   | outcome_unknown unknown | outcome_unknown unknown | 1 |
      | cut after execution    | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | cut after execution    | outcome write   | answer                    | replay                  | replay                  | 1 |
      | cut after execution    | replay          | replay                    | replay                  | replay                  | 1 |
      | node killed            | claim write     | none                      | answer                  | replay                  | 1 |
      | node killed            | before dispatch | none                      | in_progress unknown     | outcome_unknown unknown | 0 |
      | node killed            | dispatch        | none                      | in_progress unknown     | outcome_unknown unknown | 0 |
      | node killed            | after dispatch  | none                      | in_progress unknown     | outcome_unknown unknown | 1 |
      | node killed            | outcome write   | none                      | in_progress unknown     | outcome_unknown unknown | 1 |
      | node killed            | replay          | none                      | replay                  | replay                  | 1 |
      | node frozen            | before claim    | answer                    | replay                  | replay                  | 1 |
      | node frozen            | claim write     | deadline_exceeded not-run | answer                  | replay                  | 1 |
      | node frozen            | before dispatch | deadline_exceeded not-run | answer                  | replay                  | 1 |
      | node frozen            | dispatch        | answer                    | replay                  | replay                  | 1 |
      | node frozen            | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | node frozen            | outcome write   | answer                    | replay                  | replay                  | 1 |
      | node frozen            | replay          | replay                    | replay                  | replay                  | 1 |
      | caller disconnects     | claim write     | none                      | replay                  | replay                  | 1 |
      | caller disconnects     | before dispatch | none                      | replay                  | replay                  | 1 |
      | caller disconnects     | dispatch        | none                      | replay                  | replay                  | 1 |
      | caller disconnects     | after dispatch  | none                      | replay                  | replay                  | 1 |
      | caller disconnects     | outcome write   | none                      | replay                  | replay                  | 1 |
      | caller disconnects     | replay          | none                      | replay                  | replay                  | 1 |
      | concurrent call        | before claim    | replay                    | replay                  | replay                  | 1 |
      | concurrent call        | claim write     | replay                    | replay                  | replay                  | 1 |
      | concurrent call        | before dispatch | answer                    | replay                  | replay                  | 1 |
      | concurrent call        | dispatch        | answer                    | replay                  | replay                  | 1 |
      | concurrent call        | after dispatch  | answer                    | replay                  | replay                  | 1 |
      | concurrent call        | outcome write   | answer                    | replay                  | replay                  | 1 |
      | concurrent call        | replay          | replay                    | replay                  | replay                  | 1 |

  Scenario: Every pair of faults, each at every step
    When a keyed call is sent with every pair of faults, each fault at every step
    Then no call of 5460 pairs ran twice or ran after it was refused as not run

  @fuzz
  Scenario: Random interleavings of three nodes over a faulty store
    Then results and executions agree over 100 random runs of 40 steps

  Scenario Outline: A key belongs to one call of one client account: other <part>
    Given two simulated nodes with a table and a plain service
    When a key is used, and then by a call with another <part>
    Then the second call returns <result>

    Examples:
      | part    | result                         |
      | none    | replay                         |
      | body    | idempotency_key_reused not-run |
      | method  | idempotency_key_reused not-run |
      | path    | idempotency_key_reused not-run |
      | account | answer                         |
      | key     | answer                         |

  Scenario Outline: A <method> call <keyed> a key and <fault>
    Given two simulated nodes with a table and a plain service
    When a <method> call <keyed> a key is sent with <fault>
    Then the call returns <result> after <attempts> attempts and <runs> executions

    Examples:
      | method | keyed   | fault                | result                    | attempts | runs |
      | POST   | without | table down           | answer                    | 1        | 1    |
      | POST   | without | upstream refuses     | upstream_failed not-run   | 1        | 0    |
      | POST   | without | upstream unreachable | upstream_failed not-run   | 1        | 0    |
      | POST   | without | cut before execution | upstream_failed unknown   | 1        | 0    |
      | POST   | without | cut after execution  | upstream_failed unknown   | 1        | 1    |
      | POST   | with    | upstream refuses     | answer                    | 2        | 1    |
      | POST   | with    | all upstreams refuse | upstream_failed not-run   | 2        | 0    |
      | POST   | with    | cut after execution  | upstream_failed unknown   | 1        | 1    |
      | POST   | with    | table down           | store_unavailable not-run | 0        | 0    |
      | GET    | with    | table down           | answer                    | 1        | 1    |
      | GET    | without | upstream refuses     | answer                    | 2        | 1    |
      | GET    | without | upstream silent      | answer                    | 2        | 1    |
      | GET    | without | cut before execution | answer                    | 2        | 1    |
      | GET    | without | cut after execution  | answer                    | 2        | 2    |
      | GET    | without | all upstreams refuse | upstream_failed not-run   | 3        | 0    |

  Scenario Outline: A large answer is stored as an object, with <fault>
    Given two simulated nodes with a table and a plain service
    When a keyed call has an answer too large for its row, stored with <fault>
    Then the answer is replayed whole from the object store

    Examples:
      | fault      |
      | no fault   |
      | table down |
      | table slow |
      | reply lost |

  Scenario: An outage of the upstreams is not amplified by retries
    Given two simulated nodes with a table and a plain service
    When 100 GET calls in a row are refused by every upstream
    Then there were at most 110 attempts
