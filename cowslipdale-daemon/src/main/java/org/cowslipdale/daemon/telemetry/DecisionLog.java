package org.cowslipdale.daemon.telemetry;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes one line for each decision that touches a request or changes what the daemon believes.
 *
 * <p>Failures and changes of belief are always written. Successes are sampled by request id, so
 * that a sampled request is seen on every hop.
 */
public final class DecisionLog {

  private static final Logger LOG = LoggerFactory.getLogger("decision");

  /** One success in so many is written; at 100 statements a second that is two lines a second. */
  private static final int SUCCESS_SAMPLING_INTERVAL = 50;

  private DecisionLog() {}

  /**
   * Begins a line on a failure or a change of belief.
   *
   * @param event what happened
   */
  public static Line line(LogEvent event) {
    return new Line(event, LOG.atLevel(Level.INFO));
  }

  /**
   * Tells whether successes of a request are written.
   *
   * @param request the identifier of the request
   */
  public static boolean isSampled(String request) {
    return Math.floorMod(request.hashCode(), SUCCESS_SAMPLING_INTERVAL) == 0;
  }

  /** A line of the log. */
  public static final class Line {

    private LoggingEventBuilder builder;

    private Line(LogEvent event, LoggingEventBuilder builder) {
      this.builder = requireNonNull(builder, "builder").setMessage(event.text());
    }

    /**
     * Adds a field.
     *
     * @param field the name of the field
     * @param value its value; null is left out
     */
    public Line with(String field, @Nullable Object value) {
      if (value != null) {
        builder = builder.addKeyValue(field, value.toString());
      }
      return this;
    }

    /** Writes the line. */
    public void write() {
      builder.log();
    }
  }
}
