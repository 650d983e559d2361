Feature: A keyed non-idempotent call runs at most once

  Scenario Outline: <fault> on the <when>
    Given two gateways before one plain service
    And the fault "<fault>" strikes the <when>
    When a caller sends a keyed call and resends it at the other gateway
    Then the call ran at most once
    And no caller was told "not run" of a call that ran
    And a last resend gets the answer or is told that the outcome is unknown

    Examples:
      | fault                            | when      |
      | gateway dies before claim write  | first try |
      | gateway dies before claim write  | resend    |
      | gateway dies after claim write   | first try |
      | gateway dies after claim write   | resend    |
      | gateway dies after send          | first try |
      | gateway dies after send          | resend    |
      | gateway dies before outcome      | first try |
      | gateway dies before outcome      | resend    |
      | claim answer lost                | first try |
      | claim answer lost                | resend    |
      | store slow                       | first try |
      | store slow                       | resend    |
      | store down 10 min                | first try |
      | store down 10 min                | resend    |
      | connect refused                  | first try |
      | connect refused                  | resend    |
      | connection reset after send      | first try |
      | connection reset after send      | resend    |
      | target answers late              | first try |
      | target answers late              | resend    |
      | resent meanwhile                 | first try |
      | resent meanwhile                 | resend    |
      | paused 30 s before send          | first try |
      | paused 30 s before send          | resend    |
      | paused 30 s before claim write   | first try |
      | paused 30 s before claim write   | resend    |
