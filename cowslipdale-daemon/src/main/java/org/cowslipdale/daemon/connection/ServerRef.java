package org.cowslipdale.daemon.connection;

import static java.util.Objects.requireNonNull;

import org.cowslipdale.core.backend.Announcement;

/**
 * A reference to a backend server: its address, and the names that verify that the intended server
 * answers there.
 *
 * @param database the name of the database
 * @param server the name of the server
 * @param address the host and port on which the server accepts statements
 */
public record ServerRef(String database, String server, String address) {

  /** Checks that no component is null. */
  public ServerRef {
    requireNonNull(database, "database");
    requireNonNull(server, "server");
    requireNonNull(address, "address");
  }

  /**
   * Returns the reference to a server that announced itself.
   *
   * @param announcement the announcement of the server
   */
  public static ServerRef of(Announcement announcement) {
    return new ServerRef(announcement.database(), announcement.server(), announcement.address());
  }
}
