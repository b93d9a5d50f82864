package org.cowslipdale.core.claim;

import static java.util.Objects.requireNonNull;

/** The reply of a claim holder to an attempt to claim a request id. */
public sealed interface ClaimReply {

  /** The holder granted the claim to the attempt. */
  record Granted() implements ClaimReply {}

  /** The holder granted the claim to another attempt, whose outcome is not known. */
  record Taken() implements ClaimReply {}

  /**
   * The holder granted the claim to another attempt, which has completed.
   *
   * @param answer the answer body of that attempt
   */
  record Completed(String answer) implements ClaimReply {

    /** Checks that the answer is set. */
    public Completed {
      requireNonNull(answer, "answer");
    }
  }

  /**
   * The holder cannot rule out an earlier attempt, because the id may have been created before the
   * holder started, is older than the retention of claims, or lies in the future.
   */
  record CannotTell() implements ClaimReply {}
}
