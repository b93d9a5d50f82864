package org.cowslipdale.daemon.session;

import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;

/** Opens connections to backend servers that hold session state for each connection. */
public interface SessionConnector {

  /**
   * Opens a connection; blocks the calling (virtual) thread.
   *
   * @param server the server; it refuses the connection if it has a different name
   * @param customer the customer on whose behalf statements run on the connection
   * @param timeoutMillis the timeout in milliseconds
   * @throws BackendException if the server cannot be reached or refuses the connection
   */
  ServerConnection connect(ServerRef server, String customer, long timeoutMillis)
      throws BackendException;
}
