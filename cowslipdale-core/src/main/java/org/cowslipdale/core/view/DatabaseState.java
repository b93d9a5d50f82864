package org.cowslipdale.core.view;

import java.util.List;
import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The term and primary of a database group.
 *
 * @param term the highest term that has begun
 * @param primary the backend server that is primary in {@code term}, or null while a change of
 *     primary is in progress
 * @param starts the start offsets of the most recent completed terms, oldest first
 * @param fence the fencing token: the version of the view at which {@code term} began; increases
 *     with every attempt to change the primary and is never reused
 */
public record DatabaseState(
    long term, @Nullable String primary, List<TermStart> starts, long fence) {

  /** The state of a group that has not had a primary yet. */
  public static final DatabaseState INITIAL = new DatabaseState(0, null, List.of());

  private static final int MAX_TERM_STARTS = 64;

  /** Copies the starts and retains only the most recent ones. */
  public DatabaseState {
    starts =
        List.copyOf(starts.subList(Math.max(0, starts.size() - MAX_TERM_STARTS), starts.size()));
  }

  /**
   * Creates a state without a fencing token, for a term that began before tokens were recorded.
   *
   * @param term the highest term that has begun
   * @param primary the primary, or null while a change of primary is in progress
   * @param starts the start offsets of the most recent completed terms, oldest first
   */
  public DatabaseState(long term, @Nullable String primary, List<TermStart> starts) {
    this(term, primary, starts, 0);
  }

  /**
   * The start of a completed term in the log.
   *
   * @param term the term
   * @param offset the log offset from which its primary writes
   */
  public record TermStart(long term, long offset) {}

  /** Returns the latest term for which a primary was appointed, or 0 if there is none. */
  public long completedTerm() {
    return starts.isEmpty() ? 0 : starts.getLast().term();
  }

  /**
   * Returns whether a position is part of the log history of the latest completed term.
   *
   * <p>A position of an earlier term is lost if a later term began at a lower offset. It is also
   * considered lost if its term is so old that its start is no longer retained.
   *
   * @param position the position that a session has observed
   */
  public boolean contains(LogPosition position) {
    if (position.offset() == 0) {
      return true;
    }
    boolean known = false;
    for (TermStart start : starts) {
      if (start.term() == position.term()) {
        known = true;
      }
      if (start.term() > position.term() && start.offset() < position.offset()) {
        return false;
      }
    }
    return known;
  }
}
