Feature: TLS on both listeners

  Scenario: Callers, operators and peers use TLS, and plain HTTP is refused
    Given two nodes with certificates of a test authority
    Then a caller that trusts the authority gets a whole answer
    And a caller that does not trust it gets none
    And plain HTTP gets no answer
    And each node lists the other as alive
    And lagoonctl with --tls-ca shows both nodes, and without it neither
