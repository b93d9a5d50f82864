package org.cowslipdale.daemon.connection;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.backend.Announcement;

/**
 * How to reach a backend server and make sure that it is the one meant.
 *
 * @param database the database group
 * @param server the name of the server
 * @param address host and port on which it serves statements
 */
public record ServerRef(String database, String server, String address) {

  /** Asserts that every component is set. */
  public ServerRef {
    requireNonNull(database, "database");
    requireNonNull(server, "server");
    requireNonNull(address, "address");
  }

  /**
   * Returns the reference to a server that announced itself.
   *
   * @param announcement its announcement
   */
  public static ServerRef of(Announcement announcement) {
    return new ServerRef(announcement.database(), announcement.server(), announcement.address());
  }
}
