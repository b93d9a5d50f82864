package org.cowslipdale.core.claim;

import org.jspecify.annotations.Nullable;

/**
 * Counts the replies of the claim holders to one attempt and decides whether a majority granted it.
 *
 * <p>This class is confined to one thread.
 */
public final class ClaimVote {

  private final int holders;
  private int granted;
  private int notGranted;
  private boolean taken;
  private @Nullable String answer;

  /** The result of the replies received so far. */
  public enum Result {
    /** More replies are needed. */
    PENDING,
    /** A majority granted the claim; the attempt may run. */
    GRANTED,
    /** Another attempt completed and its answer is known. */
    COMPLETED,
    /** Another attempt may have run. */
    TAKEN,
    /** Too few holders granted the claim, and none reported another attempt. */
    UNAVAILABLE
  }

  /**
   * Creates a vote without replies.
   *
   * @param holders the number of holders that were sent a claim request
   */
  public ClaimVote(int holders) {
    this.holders = holders;
  }

  /**
   * Adds a reply.
   *
   * @param reply the reply, or null if a holder did not answer
   */
  public void add(@Nullable ClaimReply reply) {
    switch (reply) {
      case ClaimReply.Granted ignored -> granted++;
      case ClaimReply.Taken ignored -> {
        taken = true;
        notGranted++;
      }
      case ClaimReply.Completed completed -> {
        answer = completed.answer();
        notGranted++;
      }
      case ClaimReply.CannotTell ignored -> notGranted++;
      case null -> notGranted++;
    }
  }

  /** Returns the result of the replies received so far. */
  public Result result() {
    if (answer != null) {
      return Result.COMPLETED;
    }
    int majority = ClaimHolders.majority(holders);
    if (holders > 0 && granted >= majority) {
      return Result.GRANTED;
    }
    if (granted + notGranted < holders) {
      return Result.PENDING;
    }
    return taken ? Result.TAKEN : Result.UNAVAILABLE;
  }

  /** Returns the answer of the completed attempt; null unless the result is {@code COMPLETED}. */
  public @Nullable String answer() {
    return answer;
  }
}
