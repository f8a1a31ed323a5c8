Feature: A configuration is stored in parts, so that a change transfers few bytes

  Scenario Outline: A change replaces one part
    Given a configuration of <accounts> accounts and <upstreams> upstreams in parts
    When <change>
    Then <parts> of the parts are new, and the parts join into the changed configuration

    Examples:
      | accounts | upstreams | change                            | parts |
      | 10       | 19        | nothing changes                   | 0     |
      | 10       | 19        | the weight of one account changes | 1     |
      | 3000     | 600       | the weight of one account changes | 1     |
      | 3000     | 600       | an upstream is drained            | 1     |
      | 3000     | 600       | an account is removed             | 1     |
      | 3000     | 600       | the limits change                 | 1     |

  Scenario Outline: A part that is invalid or does not match its digest is refused
    Given a configuration of 10 accounts and 19 upstreams in parts
    Then a <kind> part with <defect> is refused with "<reason>"

    Examples:
      | kind      | defect           | reason                  |
      | accounts  | other content    | its content has digest  |
      | upstreams | other content    | its content has digest  |
      | head      | other content    | its content has digest  |
      | accounts  | a missing key    | key_sha256              |
      | head      | an unknown key   | unknown key             |

  Scenario: Sites share equal parts
    Given a configuration of 3000 accounts and 19 upstreams in parts
    Then a second site with other upstreams adds as many blobs as its upstreams need
