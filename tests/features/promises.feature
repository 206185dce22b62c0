Feature: What always holds
  The whole path runs in one process: daemons, platform, engines and services.

  Scenario Outline: Requests are billed once and answered whole
    Given a fleet of 3 daemons
    When <fault>
    And 12 chats are asked through all daemons
    And the faults end
    Then every answer is whole and the caller's own
    And what was refused as not run never ran
    And all 12 chats are completed
    And the ledger bills each workspace what its callers saw

    Examples:
      | fault                                   |
      | nothing fails                           |
      | the log loses half of its answers       |
      | the log is down for a second            |
      | one engine dies in mid-stream           |
      | one engine falls silent                 |
      | open connections to engines fall silent |
      | the log loses half of its answers, and one engine dies in mid-stream |
      | the log is down for a second, and open connections to engines fall silent |

  Scenario Outline: A call that may not be repeated runs at most once
    Given a fleet of 3 daemons
    When <fault>
    And one transfer is asked through all daemons at once
    And the faults end
    Then the transfer ran at most once
    And what was refused as not run never ran
    And the transfer is billed as often as it ran

    Examples:
      | fault                             |
      | nothing fails                     |
      | the log loses half of its answers |
      | the log is down for a second      |

  Scenario: A workspace cannot spend past its budget
    Given a fleet of 3 daemons
    When the small workspace asks 20 chats through all daemons
    Then some chats are refused for lack of budget
    And what was refused as not run never ran
    And no refused chat would have fitted into what was left
    And the ledger bills each workspace what its callers saw

  Scenario: A leaving runner gets no new work
    Given a fleet of 3 daemons
    When an engine leaves and 3 seconds pass
    And 12 chats are asked through all daemons
    Then the leaving engine got no new work
    And all 12 chats are completed

  Scenario: A drain breaks nothing in flight
    Given a fleet of 3 daemons
    When a daemon drains while 12 chats are under way
    Then all 12 chats are completed
    And every answer is whole and the caller's own
    And the drained daemon holds no tokens
