package org.cowslipdale.daemon.connection;

import org.cowslipdale.config.protocol.ServerStatus;

/** Asks backend servers for their state; the methods block the calling (virtual) thread. */
public interface ServerStatusClient {

  /**
   * Asks a server for its state, over a new connection.
   *
   * @param server the server
   * @param timeoutMillis how long to wait, in milliseconds
   * @throws BackendException if the server does not answer
   */
  ServerStatus status(ServerRef server, long timeoutMillis) throws BackendException;
}
