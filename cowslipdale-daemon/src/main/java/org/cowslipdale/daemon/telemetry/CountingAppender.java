package org.cowslipdale.daemon.telemetry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/**
 * Passes log lines on without ever blocking, and counts those for which there was no room.
 *
 * <p>Logback creates it from the configuration file. The count is that of the whole process.
 */
public final class CountingAppender extends AsyncAppender {

  private static final LongAdder DROPPED_LINES = new LongAdder();

  /** Creates an appender; its queue and target are set by the configuration file. */
  public CountingAppender() {
    setNeverBlock(true);
  }

  /** Returns how many lines were dropped since the start of the process. */
  public static long droppedLines() {
    return DROPPED_LINES.sum();
  }

  @Override
  protected void append(ILoggingEvent event) {
    int room = getRemainingCapacity();
    boolean kept = room > (isDiscardable(event) ? getDiscardingThreshold() : 0);
    if (kept) {
      super.append(event);
    } else {
      DROPPED_LINES.increment();
    }
  }
}
