package org.cowslipdale.core.view;

import java.util.List;
import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The term and primary of a database group.
 *
 * @param term the highest term begun
 * @param primary the backend server that is primary in {@code term}, or null while a change of
 *     primary is under way
 * @param starts the start of every recent completed term, oldest first
 * @param fence the version of the view at which {@code term} began; grows with every attempt to
 *     change the primary and is never used twice
 */
public record DatabaseState(
    long term, @Nullable String primary, List<TermStart> starts, long fence) {

  /** A group that has had no primary yet. */
  public static final DatabaseState INITIAL = new DatabaseState(0, null, List.of());

  private static final int MAX_TERM_STARTS = 64;

  /** Copies the starts and keeps the most recent ones only. */
  public DatabaseState {
    starts = List.copyOf(starts.subList(Math.max(0, starts.size() - MAX_TERM_STARTS), starts.size()));
  }

  /**
   * Creates a state whose term began before fences were recorded.
   *
   * @param term the highest term begun
   * @param primary the primary, or null while a change of primary is under way
   * @param starts the start of every recent completed term, oldest first
   */
  public DatabaseState(long term, @Nullable String primary, List<TermStart> starts) {
    this(term, primary, starts, 0);
  }

  /**
   * Where a completed term began.
   *
   * @param term the term
   * @param offset the log offset at which its primary began to write
   */
  public record TermStart(long term, long offset) {}

  /** Returns the term of the latest primary that was appointed, or 0 before the first. */
  public long completedTerm() {
    return starts.isEmpty() ? 0 : starts.getLast().term();
  }

  /**
   * Tells whether a position is part of the history of the latest completed term.
   *
   * <p>A position of an older term is lost if a later term began before it, and also if its term is
   * so old that its end is no longer known.
   *
   * @param position the position that a session has seen
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
