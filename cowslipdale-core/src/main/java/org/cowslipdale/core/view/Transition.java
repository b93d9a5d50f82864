package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.result.ResultCode;

/**
 * The effect of a command on a view.
 *
 * @param view the view afterwards; unchanged if the command was rejected
 * @param code {@link ResultCode#OK} or why the command was rejected
 * @param message what happened, for people
 */
public record Transition(View view, ResultCode code, String message) {

  /** Asserts that every component is set. */
  public Transition {
    requireNonNull(view, "view");
    requireNonNull(code, "code");
    requireNonNull(message, "message");
  }
}
