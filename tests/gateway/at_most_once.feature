Feature: A keyed non-idempotent call runs at most once

  Scenario Outline: <fault> on the <when>
    Given two gateways in front of one plain service
    And the fault "<fault>" occurs during the <when>
    When a caller sends a keyed call and resends it to the other gateway
    Then the call ran at most once
    And no gateway reported "not run" for a call that it had sent
    And a final resend gets the answer or an OutcomeUnknown error

    Examples:
      | fault                              | when      |
      | gateway crashes before claim write | first try |
      | gateway crashes before claim write | resend    |
      | gateway crashes after claim write  | first try |
      | gateway crashes after claim write  | resend    |
      | gateway crashes after send         | first try |
      | gateway crashes after send         | resend    |
      | gateway crashes before outcome     | first try |
      | gateway crashes before outcome     | resend    |
      | claim write response lost          | first try |
      | claim write response lost          | resend    |
      | table service slow                 | first try |
      | table service slow                 | resend    |
      | table service down 10 min          | first try |
      | table service down 10 min          | resend    |
      | connect refused                    | first try |
      | connect refused                    | resend    |
      | connection reset after send        | first try |
      | connection reset after send        | resend    |
      | target answers late                | first try |
      | target answers late                | resend    |
      | resent while running               | first try |
      | resent while running               | resend    |
      | paused 30 s before send            | first try |
      | paused 30 s before send            | resend    |
      | paused 30 s before claim write     | first try |
      | paused 30 s before claim write     | resend    |
