package org.cowslipdale.core.backend;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.session.LogPosition;
import org.jspecify.annotations.Nullable;

/**
 * The information that a backend server periodically announces about itself.
 *
 * @param database the database whose data it holds
 * @param server the unique name of the server
 * @param address the host and port on which it accepts statements
 * @param failureDomain the failure domain in which it runs
 * @param region the region in which it runs
 * @param role the role that the server assigns to itself
 * @param position the end of its applied log; the term is that of the primary whose log it holds
 * @param ageMillis the maximum age of its data, in milliseconds
 * @param slots the number of statements that it runs concurrently
 * @param connectionLimit the number of connections that it accepts
 * @param leaving whether it is about to stop and should get no new work
 * @param incarnation a number that increases with every start of the server
 * @param sequence a number that increases with every announcement of an incarnation
 * @param coldRemainingMillis how much longer the server stays slow after its start, in
 *     milliseconds, or null if it does not announce that. Missing in messages of earlier versions
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
    long sequence,
    @Nullable Long coldRemainingMillis) {

  /** Checks that no component is null, the age is not negative, and both limits are positive. */
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
    if (coldRemainingMillis != null && coldRemainingMillis < 0) {
      throw new IllegalArgumentException("coldRemainingMillis must not be negative");
    }
  }

  /**
   * Creates an announcement of a server that does not announce how long it stays slow.
   *
   * @param database the database whose data it holds
   * @param server the unique name of the server
   * @param address the host and port on which it accepts statements
   * @param failureDomain the failure domain in which it runs
   * @param region the region in which it runs
   * @param role the role that the server assigns to itself
   * @param position the end of its applied log
   * @param ageMillis the maximum age of its data, in milliseconds
   * @param slots the number of statements that it runs concurrently
   * @param connectionLimit the number of connections that it accepts
   * @param leaving whether it is about to stop and should get no new work
   * @param incarnation a number that increases with every start of the server
   * @param sequence a number that increases with every announcement of an incarnation
   */
  public Announcement(
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
    this(
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
        leaving,
        incarnation,
        sequence,
        null);
  }

  /** Returns whether the server announced that it is still slow after its start. */
  public boolean announcesCold() {
    return coldRemainingMillis != null && coldRemainingMillis > 0;
  }

  /** Returns the next announcement of the same server, marked as leaving. */
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
        sequence + 1,
        coldRemainingMillis);
  }

  /**
   * Returns whether this announcement was made after another one of the same server.
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
