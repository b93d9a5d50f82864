package org.cowslipdale.core.session;

/**
 * A position in the log of a database group.
 *
 * @param term the term of the primary that wrote the record at the position
 * @param offset the number of log records written since the group was created
 */
public record LogPosition(long term, long offset) implements Comparable<LogPosition> {

  /** The position before the first record of the first term. */
  public static final LogPosition ZERO = new LogPosition(0, 0);

  /** Rejects negative components. */
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
   * Returns the later of this position and another one.
   *
   * @param other the position to compare with
   */
  public LogPosition max(LogPosition other) {
    return compareTo(other) >= 0 ? this : other;
  }
}
