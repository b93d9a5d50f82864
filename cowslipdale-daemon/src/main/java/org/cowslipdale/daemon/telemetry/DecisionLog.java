package org.cowslipdale.daemon.telemetry;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs one line for each decision about a request and for each change of the state on which the
 * daemon bases its decisions, such as its lease or the role of a server.
 *
 * <p>Failures and state changes are always logged. Successes are sampled by the hash of the request
 * id, so that a sampled request is logged at every hop.
 */
public final class DecisionLog {

  private static final Logger LOG = LoggerFactory.getLogger("decision");

  /** One success out of 50 is logged: two lines per second at 100 statements per second. */
  private static final int SUCCESS_SAMPLING_INTERVAL = 50;

  private DecisionLog() {}

  /**
   * Begins a line about an event.
   *
   * @param event the event
   */
  public static Line line(LogEvent event) {
    return new Line(event, LOG.atLevel(Level.INFO));
  }

  /**
   * Returns whether the successes of a request are logged.
   *
   * @param requestId the id of the request
   */
  public static boolean isSampled(String requestId) {
    return Math.floorMod(requestId.hashCode(), SUCCESS_SAMPLING_INTERVAL) == 0;
  }

  /** Builds a line of the log. */
  public static final class Line {

    private LoggingEventBuilder builder;

    private Line(LogEvent event, LoggingEventBuilder builder) {
      this.builder = requireNonNull(builder, "builder").setMessage(event.text());
    }

    /**
     * Adds a field.
     *
     * @param field the name of the field
     * @param value its value; a null value is omitted
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
