package org.cowslipdale.core.control;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * The result of an operator's change, kept so that a resend gets it again.
 *
 * @param requestId the identifier that all resends share
 * @param code the result
 * @param message what happened, for people
 * @param version the version of the view after the change
 * @param proposedAtMillis when the change was proposed, in milliseconds since the epoch
 */
public record ChangeRecord(
    String requestId, ResultCode code, String message, long version, long proposedAtMillis) {

  /** Asserts that every component is set. */
  public ChangeRecord {
    requireNonNull(requestId, "requestId");
    requireNonNull(code, "code");
    requireNonNull(message, "message");
  }
}
