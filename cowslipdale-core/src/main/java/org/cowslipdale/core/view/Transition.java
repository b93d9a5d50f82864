package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * The result of applying a command to a view.
 *
 * @param view the resulting view; the original view if the command was rejected
 * @param code {@link ResultCode#OK}, or the reason for the rejection
 * @param message a human-readable description of the result
 */
public record Transition(View view, ResultCode code, String message) {

  /** Rejects null components. */
  public Transition {
    requireNonNull(view, "view");
    requireNonNull(code, "code");
    requireNonNull(message, "message");
  }
}
