Feature: Jobs that can never run

  Scenario Outline: never, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                             |
      | 12 jobs that can never run arrive |

  Scenario Outline: never, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                             |
      | 12 jobs that can never run arrive |
