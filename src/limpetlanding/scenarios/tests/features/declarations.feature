Feature: Declared sizes and run times are far off

  Scenario Outline: declarations, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                                  |
      | 20 jobs with wrong declarations arrive |

  Scenario Outline: declarations, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                                  |
      | 20 jobs with wrong declarations arrive |
