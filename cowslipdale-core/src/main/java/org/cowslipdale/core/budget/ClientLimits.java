package org.cowslipdale.core.budget;

import java.util.List;
import java.util.Optional;

/**
 * The limits on what one client does with its connection, and the choice of the connection to close
 * when the budget is exhausted.
 *
 * @param maxPending the maximum number of statements of a connection that wait or run
 * @param maxPendingBytes the size of waiting statements at which no more are read, in bytes
 * @param messageMillis the time to complete a message that has begun, in milliseconds
 * @param writeMillis the time without progress of a reply, in milliseconds
 * @param helloMillis the time from accept to the first complete message, in milliseconds
 * @param peerHelloMillis the same at the port of other VMs, in milliseconds
 * @param maxConnections the maximum number of clients' connections
 */
public record ClientLimits(
    int maxPending,
    int maxPendingBytes,
    long messageMillis,
    long writeMillis,
    long helloMillis,
    long peerHelloMillis,
    int maxConnections) {

  /** The limits without settings. */
  public static final ClientLimits DEFAULT =
      new ClientLimits(64, 2 << 20, 30_000, 30_000, 15_000, 10_000, 3_600);

  /** How long a message may take to be read or written before it may be closed for others. */
  private static final long EXHAUSTED_HOLD_MILLIS = 10_000;

  /** How long a client may make no progress before it may be closed for others. */
  private static final long EXHAUSTED_STALL_MILLIS = 2_000;

  /** Why a connection is closed. */
  public enum Reason {
    /** No complete message in time after the accept. */
    HELLO_TIMEOUT("hello-timeout"),
    /** A message that has begun was not completed in time. */
    MESSAGE_TIMEOUT("message-timeout"),
    /** A reply made no progress in time. */
    WRITE_TIMEOUT("write-timeout"),
    /** The connection held most for longest while others waited for the budget. */
    BUDGET_EXHAUSTED("budget-exhausted"),
    /** There were too many connections. */
    TOO_MANY_CONNECTIONS("too-many-connections");

    private final String label;

    Reason(String label) {
      this.label = label;
    }

    /** Returns the name in metrics and logs. */
    public String label() {
      return label;
    }
  }

  /**
   * What a connection holds, and since when.
   *
   * @param opened whether the first message is complete
   * @param ageMillis the time since the accept
   * @param readMillis the time since the message that is being read began, without the time in
   *     which this VM did not read; 0 if there is none
   * @param readStallMillis the part of it since bytes last arrived
   * @param writeStallMillis the time without progress of a reply; 0 if there is none
   * @param bytes the bytes held by the message or reply
   */
  public record Use(
      boolean opened,
      long ageMillis,
      long readMillis,
      long readStallMillis,
      long writeStallMillis,
      long bytes) {}

  /**
   * Returns why a connection must be closed now, if it must.
   *
   * @param use what the connection holds
   * @param firstMessageMillis the time from accept to the first complete message at its port
   */
  public Optional<Reason> overdue(Use use, long firstMessageMillis) {
    if (!use.opened() && use.ageMillis() > firstMessageMillis) {
      return Optional.of(Reason.HELLO_TIMEOUT);
    }
    if (use.readMillis() > messageMillis) {
      return Optional.of(Reason.MESSAGE_TIMEOUT);
    }
    if (use.writeStallMillis() > writeMillis) {
      return Optional.of(Reason.WRITE_TIMEOUT);
    }
    return Optional.empty();
  }

  /**
   * Returns the index of the connection to close because others wait for the budget: among those
   * that make no progress or take long, the one that holds most for longest. Returns -1 if there is
   * none.
   *
   * @param uses what the connections hold
   */
  public static int victim(List<Use> uses) {
    int victim = -1;
    double highest = 0;
    for (int i = 0; i < uses.size(); i++) {
      Use use = uses.get(i);
      boolean eligible =
          use.readStallMillis() >= EXHAUSTED_STALL_MILLIS
              || use.writeStallMillis() >= EXHAUSTED_STALL_MILLIS
              || use.readMillis() >= EXHAUSTED_HOLD_MILLIS;
      double weight =
          (double) use.bytes() * Math.max(1, Math.max(use.readMillis(), use.writeStallMillis()));
      if (eligible && weight > highest) {
        highest = weight;
        victim = i;
      }
    }
    return victim;
  }
}
