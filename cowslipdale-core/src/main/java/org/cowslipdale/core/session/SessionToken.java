package org.cowslipdale.core.session;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.TreeMap;

/**
 * The progress of a session: the latest log position that it wrote or read, for each database.
 *
 * @param customer the customer for which the token was issued
 * @param positions the latest observed position, by database name
 */
public record SessionToken(String customer, Map<String, LogPosition> positions) {

  /** Rejects a null customer and copies the positions. */
  public SessionToken {
    requireNonNull(customer, "customer");
    positions = Map.copyOf(positions);
  }

  /**
   * Returns the token of a session that has not read or written yet.
   *
   * @param customer the customer for which the token is issued
   */
  public static SessionToken empty(String customer) {
    return new SessionToken(customer, Map.of());
  }

  /**
   * Returns the latest position that the session observed in a database.
   *
   * @param database the database name
   * @return the position, or {@link LogPosition#ZERO} if the session has not used the database
   */
  public LogPosition position(String database) {
    return positions.getOrDefault(database, LogPosition.ZERO);
  }

  /**
   * Returns a copy that includes an observed position. An earlier position does not replace a later
   * one.
   *
   * @param database the database name
   * @param position the observed position
   */
  public SessionToken advance(String database, LogPosition position) {
    Map<String, LogPosition> merged = new TreeMap<>(positions);
    merged.merge(database, position, LogPosition::max);
    return new SessionToken(customer, merged);
  }
}
