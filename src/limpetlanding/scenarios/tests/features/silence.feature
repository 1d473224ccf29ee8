Feature: Connections go silent for good while new ones work

  Scenario Outline: silence, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                                            |
      | connections between entry and agent go silent    |
      | connections between agent and agent go silent    |
      | connections between agent and endpoint go silent |
      | connections between entry and log go silent      |

  Scenario Outline: silence, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                                            |
      | connections between entry and agent go silent    |
      | connections between agent and agent go silent    |
      | connections between agent and endpoint go silent |
      | connections between entry and log go silent      |
