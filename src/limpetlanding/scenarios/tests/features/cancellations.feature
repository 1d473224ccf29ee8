Feature: Cancellations arrive in waves

  Scenario Outline: cancellations, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                       |
      | every open job is cancelled |

  Scenario Outline: cancellations, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                       |
      | every open job is cancelled |

  Scenario: a wave of cancellations meets a burst
    Given a system under load with seed 3
    When after 1 s a burst of 60 jobs arrives
    And after 1.2 s every open job is cancelled
    And after 1.3 s every open job is cancelled
    Then every promise holds
