package org.cowslipdale.core.session;

/**
 * A position in the log of a database group.
 *
 * @param term the term of the primary that wrote up to the position
 * @param offset the number of log records written since the group was created
 */
public record LogPosition(long term, long offset) implements Comparable<LogPosition> {

  /** The position before the first record of the first term. */
  public static final LogPosition ZERO = new LogPosition(0, 0);

  /** Checks that neither component is negative. */
  public LogPosition {
    if (term < 0 || offset < 0) {
      throw new IllegalArgumentException("term and offset must not be negative");
    }
  }

  @Override
  public int compareTo(LogPosition other) {
    int byTerm = Long.compare(term, other.term);
    return byTerm != 0 ? byTerm : Long.compare(offset, other.offset);
  }

  /**
   * Returns the later one of two positions.
   *
   * @param other the position to compare with
   */
  public LogPosition max(LogPosition other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
