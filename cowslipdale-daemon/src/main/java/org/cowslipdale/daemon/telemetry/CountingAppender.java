package org.cowslipdale.daemon.telemetry;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.LongAdder;

/**
 * Appends log lines asynchronously without blocking, and counts lines that are dropped because the
 * queue is full.
 *
 * <p>Logback creates it from the configuration file. The count covers all appenders of the process.
 */
public final class CountingAppender extends AsyncAppender {

  private static final LongAdder DROPPED_LINES = new LongAdder();

  /** Creates an appender; its queue size and target come from the configuration file. */
  public CountingAppender() {
    setNeverBlock(true);
  }

  /** Returns how many lines were dropped since the start of the process. */
  public static long droppedLines() {
    return DROPPED_LINES.sum();
  }

  @Override
  protected void append(ILoggingEvent event) {
    int remainingCapacity = getRemainingCapacity();
    boolean accepted = remainingCapacity > (isDiscardable(event) ? getDiscardingThreshold() : 0);
    if (accepted) {
      super.append(event);
    } else {
      DROPPED_LINES.increment();
    }
  }
}
