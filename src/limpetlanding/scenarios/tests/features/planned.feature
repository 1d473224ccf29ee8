Feature: Planned stops cut no request

  Scenario Outline: a planned stop
    Given a system under load with seed 1
    When after 1 s <name> stops as planned
    Then every promise holds
    And no request is cut

    Examples:
      | name    |
      | entry-1 |
      | agent-1 |
      | agent-3 |

  Scenario: two stops at once
    Given a system under load with seed 2
    When after 1 s agent-3 stops as planned
    And after 1.2 s entry-2 stops as planned
    Then every promise holds
    And no request is cut

  Scenario: two agents stop
    Given a system under load with seed 3
    When after 1 s agent-3 stops as planned
    And after 1.2 s agent-1 stops as planned
    Then every promise holds
