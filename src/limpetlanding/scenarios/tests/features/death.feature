Feature: Workers and processes die

  Scenario Outline: a process dies
    Given a system under load with seed 1
    When after 1 s <name> dies
    Then every promise holds

    Examples:
      | name       |
      | entry-1    |
      | agent-1    |
      | agent-3    |
      | endpoint-1 |

  Scenario Outline: a process dies twice
    Given a system under load with seed 2
    When after 1 s <name> dies and returns after 1 s
    And after 3 s <name> dies and returns after 1 s
    Then every promise holds

    Examples:
      | name       |
      | entry-1    |
      | agent-1    |
      | agent-3    |
      | endpoint-1 |
