Feature: The log is down or slow, or answers are lost after the write

  Scenario Outline: log, once
    Given a system under load with seed 1
    When after 1 s <fault>
    And after 2 s cleo publishes a limit of 70 tasks
    Then every promise holds

    Examples:
      | fault                                       |
      | the log is down for 3 s                     |
      | the log answers after 400 ms for 3 s        |
      | the log loses the answers to writes for 3 s |

  Scenario Outline: log, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 2 s cleo publishes a limit of 70 tasks
    And after 5 s <fault>
    And after 6 s cleo publishes a limit of 60 tasks
    Then every promise holds

    Examples:
      | fault                                       |
      | the log is down for 3 s                     |
      | the log answers after 400 ms for 3 s        |
      | the log loses the answers to writes for 3 s |
