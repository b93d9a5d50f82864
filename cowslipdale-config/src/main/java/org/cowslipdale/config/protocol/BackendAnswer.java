package org.cowslipdale.config.protocol;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * The answer of a backend server to a {@link BackendCall}.
 *
 * @param call the identifier of the call
 * @param term the term in which the server answered
 * @param offset the end of the server's applied log after the call
 * @param ageMillis the maximum age of the data that was read, in milliseconds
 * @param result the result, or null if the call did not run
 * @param declined the condition of the call that did not hold, so that the server rejected it
 *     without running it; null otherwise
 * @param error the reason why the statement failed without an effect; null otherwise
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record BackendAnswer(
    String call,
    long term,
    long offset,
    long ageMillis,
    @Nullable JsonNode result,
    @Nullable String declined,
    @Nullable String error) {

  /** The server is not in the term of the call. */
  public static final String WRONG_TERM = "wrong-term";

  /** The server is not a primary. */
  public static final String NOT_PRIMARY = "not-primary";

  /** The server has not applied the log offset that the call requires. */
  public static final String BEHIND = "behind";

  /** The data of the server is older than the call permits. */
  public static final String TOO_OLD = "too-old";

  /** The server is leaving and accepts no new work. */
  public static final String LEAVING = "leaving";
}
