Feature: Load arrives in bursts

  Scenario Outline: bursts, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                      |
      | a burst of 60 jobs arrives |

  Scenario Outline: bursts, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                      |
      | a burst of 60 jobs arrives |
