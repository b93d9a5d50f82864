package org.cowslipdale.core.backend;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.LogPosition;

/**
 * What a backend server repeatedly states about itself.
 *
 * @param database the database whose data it holds
 * @param server the unique name of the server
 * @param address host and port on which it serves statements
 * @param failureDomain the failure domain in which it runs
 * @param region the region in which it runs
 * @param role the role in its own view
 * @param position the end of its applied log; the term is that of the primary whose log it holds
 * @param ageMillis how old its data is at most, in milliseconds
 * @param slots how many statements it runs at a time
 * @param connectionLimit how many connections it accepts
 * @param leaving whether it wants no new work
 * @param incarnation a number that grows with every start of the server
 * @param sequence a number that grows with every announcement of an incarnation
 */
public record Announcement(
    String database,
    String server,
    String address,
    String failureDomain,
    String region,
    ServerRole role,
    LogPosition position,
    long ageMillis,
    int slots,
    int connectionLimit,
    boolean leaving,
    long incarnation,
    long sequence) {

  /** Asserts that every component is set and every limit positive. */
  public Announcement {
    requireNonNull(database, "database");
    requireNonNull(server, "server");
    requireNonNull(address, "address");
    requireNonNull(failureDomain, "failureDomain");
    requireNonNull(region, "region");
    requireNonNull(role, "role");
    requireNonNull(position, "position");
    if (ageMillis < 0 || slots < 1 || connectionLimit < 1) {
      throw new IllegalArgumentException(
          "ageMillis must not be negative; slots and connectionLimit must be positive");
    }
  }

  /** Returns a later announcement of the same server that it wants no new work. */
  public Announcement asLeaving() {
    return new Announcement(
        database,
        server,
        address,
        failureDomain,
        region,
        role,
        position,
        ageMillis,
        slots,
        connectionLimit,
        true,
        incarnation,
        sequence + 1);
  }

  /**
   * Tells whether this announcement was made after another one of the same server.
   *
   * @param other the other announcement
   */
  public boolean isNewerThan(Announcement other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return sequence > other.sequence;
  }
}
