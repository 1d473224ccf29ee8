Feature: A worker fails every task

  Scenario Outline: failing, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                               |
      | endpoint-1 fails everything for 1 s |

  Scenario Outline: failing, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                               |
      | endpoint-1 fails everything for 1 s |

  Scenario: the others serve most jobs
    Given a system under load with seed 3
    When after 1 s endpoint-1 fails everything for 8 s
    Then every promise holds
    And of the jobs offered after 3 s at least 70 % are complete
