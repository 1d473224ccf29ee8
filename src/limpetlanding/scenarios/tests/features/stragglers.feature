Feature: Stragglers

  Scenario Outline: stragglers, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                                 |
      | endpoint-1 is 20 times slower for 1 s |
      | 4 stragglers of 12 s arrive           |

  Scenario Outline: stragglers, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                                 |
      | endpoint-1 is 20 times slower for 1 s |
      | 4 stragglers of 12 s arrive           |
