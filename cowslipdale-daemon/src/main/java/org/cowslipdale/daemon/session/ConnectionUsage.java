package org.cowslipdale.daemon.session;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counts the connections to servers that this VM opened and the statements that ran on them, those
 * of other VMs included. This class is thread-safe.
 */
public final class ConnectionUsage {

  private final LongAdder opened = new LongAdder();
  private final LongAdder statements = new LongAdder();

  void recordOpened() {
    opened.increment();
  }

  void recordStatement() {
    statements.increment();
  }

  /** Returns the number of connections that were opened. */
  public long opened() {
    return opened.sum();
  }

  /** Returns the number of statements that were sent. */
  public long statements() {
    return statements.sum();
  }

  /** Returns the number of new connections per statement, or 0 without statements. */
  public double openedPerStatement() {
    long sent = statements();
    return sent == 0 ? 0 : (double) opened() / sent;
  }
}
