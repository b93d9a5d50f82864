package org.cowslipdale.core.control;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * The result of an operator's change. Retained so that a resent change receives the same result.
 *
 * @param requestId the identifier of the change, the same in every resend
 * @param code the result code
 * @param message a human-readable description of the result
 * @param version the version of the view after the change
 * @param proposedAtMillis when the change was proposed, in milliseconds since the epoch
 */
public record ChangeRecord(
    String requestId, ResultCode code, String message, long version, long proposedAtMillis) {

  /** Checks that no component is {@code null}. */
  public ChangeRecord {
    requireNonNull(requestId, "requestId");
    requireNonNull(code, "code");
    requireNonNull(message, "message");
  }
}
