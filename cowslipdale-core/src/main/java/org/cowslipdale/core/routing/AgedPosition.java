package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.LogPosition;

/**
 * A {@link PositionSample} on its way to another VM, whose clock has another origin.
 *
 * @param database the database
 * @param term the term of the view in which the server was primary
 * @param position the position, in terms of the server's log
 * @param ageMillis how long before the message was sent the position is known to be complete, on
 *     the sender's clock
 */
public record AgedPosition(String database, long term, LogPosition position, long ageMillis) {

  /** Asserts that every component is set. */
  public AgedPosition {
    requireNonNull(database, "database");
    requireNonNull(position, "position");
  }
}
