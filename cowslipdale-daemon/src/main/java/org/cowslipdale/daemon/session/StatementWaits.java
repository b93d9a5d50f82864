package org.cowslipdale.daemon.session;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.telemetry.DecisionLog;

/**
 * The time that one statement spent waiting before it was sent, by what it waited for.
 *
 * <p>This class is confined to the thread that runs the statement.
 */
public final class StatementWaits {

  /** What a statement waits for. */
  public enum Cause {
    /** A token of the customer's rate, and the processing before the first routing. */
    ADMISSION,
    /** A valid lease. */
    LEASE,
    /** A primary in the view. */
    PRIMARY,
    /** The end of the backoff from a busy server. */
    BACKOFF,
    /** One of this VM's slots for the server. */
    SLOT,
    /** A permit that the control leader did not grant. */
    PERMIT,
    /** The control leader, which did not answer the demand for a permit. */
    PERMIT_ANSWER,
    /** A new connection to the server. */
    CONNECTION,
    /** Anything else, for example a server that has the required position. */
    OTHER
  }

  private final Map<Cause, Long> millis = new EnumMap<>(Cause.class);
  private long totalMillis;

  /** Creates an instance without waits. */
  public StatementWaits() {}

  void add(Cause cause, long waitedMillis) {
    if (waitedMillis > 0) {
      millis.merge(cause, waitedMillis, Long::sum);
      totalMillis += waitedMillis;
    }
  }

  /** Returns what a statement waits for if it cannot be routed because of a code. */
  static Cause causeOf(ResultCode code) {
    return switch (code) {
      case NO_LEASE -> Cause.LEASE;
      case NO_PRIMARY -> Cause.PRIMARY;
      case OVERLOADED -> Cause.BACKOFF;
      default -> Cause.OTHER;
    };
  }

  /** Passes each cause with a wait to an action, with the time spent on it, in milliseconds. */
  void forEach(BiConsumer<Cause, Long> action) {
    millis.forEach(action);
  }

  /** Returns the time spent on all causes, in milliseconds. */
  long totalMillis() {
    return totalMillis;
  }

  /** Adds a field for each cause with a wait, such as {@code slot_ms}. */
  DecisionLog.Line describe(DecisionLog.Line line) {
    forEach((cause, waited) -> line.with(cause.name().toLowerCase(Locale.ROOT) + "_ms", waited));
    return line;
  }
}
