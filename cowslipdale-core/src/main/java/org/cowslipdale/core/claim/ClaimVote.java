package org.cowslipdale.core.claim;

import org.jspecify.annotations.Nullable;

/** Counts the replies of the claim holders to one attempt; confined to one thread. */
public final class ClaimVote {

  private final int holders;
  private int granted;
  private int notGranted;
  private boolean taken;
  private @Nullable String answer;

  /** What the replies so far decide. */
  public enum Result {
    /** More replies are needed. */
    PENDING,
    /** The attempt may run. */
    GRANTED,
    /** An earlier attempt completed and its answer is known. */
    COMPLETED,
    /** An earlier attempt may have run. */
    TAKEN,
    /** Too few holders could grant the claim. */
    UNAVAILABLE
  }

  /**
   * Creates a count.
   *
   * @param holders the number of holders asked
   */
  public ClaimVote(int holders) {
    this.holders = holders;
  }

  /**
   * Takes in a reply.
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

  /** Returns what the replies so far decide. */
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

  /** Returns the answer of the earlier attempt; null unless the result is {@code COMPLETED}. */
  public @Nullable String answer() {
    return answer;
  }
}
