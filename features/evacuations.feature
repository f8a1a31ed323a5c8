Feature: An evacuated zone gets no new requests

  Scenario Outline: Which zones are evacuated
    Given a node that knows no evacuation
    When it learns of evacuations: <events>
    Then the evacuated zones are <zones>

    Examples: changes, or all rows in the same or a later era, each at a time in s
      | events                                          | zones       |
      | 0: +east                                        | east        |
      | 0: +east +south, 1: -east                       | south       |
      | 0: +east, 1: -east, 2: +east                    | east        |
      | 0: all east south                               | east, south |
      | 0: +east, 1: all south                          | south       |
      | 0: +east, 1: later south, 10.9: end             | east, south |
      | 0: +east, 1: later south, 11: end               | south       |
      | 0: +east, 1: later, 2: later, 11: end           | none        |
      | 0: +east, 1: later, 2: +east, 20: end           | east        |
      | 0: +east, 1: later, 2: -east                    | none        |
      | 0: +east, 1: later, 2: later east, 20: end      | east        |
      | 0: +east, 1: later, 2: all, 3: end              | east        |

  Scenario Outline: Requests leave a zone that is evacuated, and come back
    Given <nodes> nodes on the platform, with a worker of each service in north and in east
    When north is evacuated, and 12 requests a second are sent to <target> for 4 s
    And it is taken back, and 12 requests a second are sent to <target> for 3 s
    Then every request is answered with 200
    And <worker> got no request from 2 s after the evacuation until it was taken back
    And <worker> got a request after it was taken back

    Examples:
      | nodes | target    | worker |
      | 1     | /read/1   | d1     |
      | 3     | /read/1   | d1     |
      | 3     | /stream/1 | m1     |

  # They waited for half of their target time, and returned after 0.25 s.
  Scenario: Requests are refused at once while all zones are evacuated
    Given 1 nodes on the platform, with a worker of each service in north and in east
    When north and east are evacuated, and 12 requests a second are sent to /read/1 for 3 s
    Then the other requests are refused with 503 and a Retry-After within 0.1 s
    And the last Retry-After is between 2 and 2.5 s
    And no worker got a request from 2 s after the evacuation
