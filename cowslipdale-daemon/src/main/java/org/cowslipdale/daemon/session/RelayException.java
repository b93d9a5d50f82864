package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.Optional;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.connection.BackendException;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when a gateway did not run a statement or did not answer. It shows nothing about the state
 * of the backend server.
 */
final class RelayException extends BackendException {

  private static final long serialVersionUID = 1;

  private final @Nullable ResultCode refusal;

  private RelayException(
      boolean mayHaveReachedServer, String message, @Nullable ResultCode refusal) {
    super(mayHaveReachedServer, new IOException(requireNonNull(message, "message")));
    this.refusal = refusal;
  }

  /** Returns an exception for a gateway that did not answer; the statement may have run. */
  static RelayException noAnswer(String gateway) {
    return new RelayException(true, "gateway " + gateway + " did not answer", null);
  }

  /** Returns an exception for a gateway that did not send the statement to the server. */
  static RelayException notSent(String gateway, String reason) {
    return new RelayException(
        false, "gateway " + gateway + " did not send the statement: " + reason, null);
  }

  /** Returns an exception for a gateway that had no slot or permit in time. */
  static RelayException refused(String gateway, ResultCode code) {
    return new RelayException(false, "gateway " + gateway + " refused: " + code, code);
  }

  /** Returns the code of a refusal for want of a slot or permit. */
  Optional<ResultCode> refusal() {
    return Optional.ofNullable(refusal);
  }
}
