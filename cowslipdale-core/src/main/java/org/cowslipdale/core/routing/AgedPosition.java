package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.LogPosition;

/**
 * A {@link PositionSample} as sent to another VM. It carries an age instead of a time, because the
 * clocks of VMs have different origins.
 *
 * @param database the database
 * @param term the view term in which the server was primary
 * @param position the log position of the server
 * @param ageMillis how long before the message was sent the position was known to cover every
 *     acknowledged commit, on the sender's clock
 */
public record AgedPosition(String database, long term, LogPosition position, long ageMillis) {

  /** Checks that no component is null. */
  public AgedPosition {
    requireNonNull(database, "database");
    requireNonNull(position, "position");
  }
}
