Feature: Two failures meet

  Scenario Outline: pairs
    Given a system under load with seed 5
    When after 1 s <first>
    And after 1.4 s <second>
    Then every promise holds

    Examples:
      | first                                            | second                                           |
      | agent-1 dies                                     | agent-3 dies                                     |
      | agent-1 dies                                     | entry-1 dies                                     |
      | agent-3 dies                                     | connections between agent and agent go silent    |
      | agent-3 is paused for 2 s                        | agent-1 dies                                     |
      | agent-3 is paused for 5 s                        | entry-1 dies and returns after 1 s               |
      | agent-3 stops as planned                         | agent-1 dies                                     |
      | agent-3 stops as planned                         | connections between agent and agent go silent    |
      | entry-1 stops as planned                         | agent-3 stops as planned                         |
      | entry-1 dies                                     | every open job is cancelled                      |
      | entry-1 is paused for 6 s                        | two operators race                               |
      | endpoint-1 dies and returns after 1 s            | connections between agent and endpoint go silent |
      | endpoint-1 fails everything for 2 s              | agent-2 dies                                     |
      | endpoint-1 is 20 times slower for 2 s            | every open job is cancelled                      |
      | endpoint-1 is paused for 4 s                     | agent-1 is paused for 2 s                        |
      | the announcements of endpoint-1 are lost for 4 s | a burst of 40 jobs arrives                       |
      | a burst of 40 jobs arrives                       | agent-1 dies                                     |
      | a burst of 40 jobs arrives                       | connections between entry and agent go silent    |
      | 4 stragglers of 12 s arrive                      | agent-1 stops as planned                         |
      | 20 jobs with wrong declarations arrive           | agent-3 is paused for 2 s                        |
      | 12 jobs that can never run arrive                | entry-2 dies                                     |
      | the log is down for 3 s                          | entry-1 dies and returns after 1 s               |
      | the log loses the answers to writes for 3 s      | two operators race                               |
      | connections between entry and log go silent      | two operators race                               |
      | connections between entry and agent go silent    | connections between agent and agent go silent    |
