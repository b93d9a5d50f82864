package org.cowslipdale.core.session;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.TreeMap;

/**
 * What a session has seen: the latest log position it wrote or read, per database.
 *
 * @param customer the customer for which the token was issued
 * @param positions the latest position seen, by database name
 */
public record SessionToken(String customer, Map<String, LogPosition> positions) {

  /** Copies the positions. */
  public SessionToken {
    requireNonNull(customer, "customer");
    positions = Map.copyOf(positions);
  }

  /**
   * Returns a token that has seen nothing yet.
   *
   * @param customer the customer for which it is issued
   */
  public static SessionToken empty(String customer) {
    return new SessionToken(customer, Map.of());
  }

  /**
   * Returns the latest position seen in a database.
   *
   * @param database the database name
   */
  public LogPosition position(String database) {
    return positions.getOrDefault(database, LogPosition.ZERO);
  }

  /**
   * Returns a token that has also seen a position; positions never move back.
   *
   * @param database the database name
   * @param position the position seen
   */
  public SessionToken advance(String database, LogPosition position) {
    Map<String, LogPosition> merged = new TreeMap<>(positions);
    merged.merge(database, position, LogPosition::max);
    return new SessionToken(customer, merged);
  }
}
