package org.cowslipdale.core.claim;

import static java.util.Objects.requireNonNull;

/** What a claim holder answers to an attempt. */
public sealed interface ClaimReply {

  /** The attempt has this holder's claim. */
  record Granted() implements ClaimReply {}

  /** Another attempt has this holder's claim, and its end is not known. */
  record Taken() implements ClaimReply {}

  /**
   * Another attempt has completed.
   *
   * @param answer the answer body of that attempt
   */
  record Completed(String answer) implements ClaimReply {

    /** Asserts that the answer is set. */
    public Completed {
      requireNonNull(answer, "answer");
    }
  }

  /** This holder cannot rule out an earlier attempt, because it started later. */
  record CannotTell() implements ClaimReply {}
}
