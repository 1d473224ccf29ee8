Feature: Operators publish concurrently and race

  Scenario: two operators race
    Given a system under load with seed 1
    When after 1 s two operators race
    Then every promise holds

  Scenario: two operators race twice
    Given a system under load with seed 2
    When after 1 s two operators race
    And after 3 s two operators race
    Then every promise holds
