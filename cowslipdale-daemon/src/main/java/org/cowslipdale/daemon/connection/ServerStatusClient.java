package org.cowslipdale.daemon.connection;

import org.cowslipdale.config.protocol.ServerStatus;

/** Requests the status of backend servers; the methods block the calling (virtual) thread. */
public interface ServerStatusClient {

  /**
   * Requests the status of a server over a new connection.
   *
   * @param server the server
   * @param timeoutMillis the timeout in milliseconds
   * @throws BackendException if the server does not answer
   */
  ServerStatus status(ServerRef server, long timeoutMillis) throws BackendException;
}
