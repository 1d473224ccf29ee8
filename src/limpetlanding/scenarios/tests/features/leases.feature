Feature: A lease lapses while its holder is paused

  Scenario Outline: leases, once
    Given a system under load with seed 1
    When after 1 s <fault>
    Then every promise holds

    Examples:
      | fault                                            |
      | agent-1 is paused for 5 s                        |
      | agent-3 is paused for 2 s                        |
      | the announcements of endpoint-1 are lost for 4 s |
      | endpoint-1 is paused for 4 s                     |

  Scenario Outline: leases, twice
    Given a system under load with seed 2
    When after 1 s <fault>
    And after 3 s <fault>
    Then every promise holds

    Examples:
      | fault                                            |
      | agent-1 is paused for 5 s                        |
      | agent-3 is paused for 2 s                        |
      | the announcements of endpoint-1 are lost for 4 s |
      | endpoint-1 is paused for 4 s                     |

  Scenario: the lease of a share lapses while its entry is paused
    Given a system under load with seed 3
    When after 0.5 s ana publishes a limit of 8 tasks
    And after 1 s a burst of 40 jobs arrives
    And after 1.5 s entry-1 is paused for 6 s
    Then every promise holds

  Scenario: the lease of a share lapses twice
    Given a system under load with seed 4
    When after 0.5 s ana publishes a limit of 8 tasks
    And after 1 s entry-1 is paused for 6 s
    And after 8 s entry-2 is paused for 6 s
    Then every promise holds
