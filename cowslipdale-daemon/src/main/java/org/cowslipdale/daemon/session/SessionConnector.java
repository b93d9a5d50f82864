package org.cowslipdale.daemon.session;

import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;

/** Opens connections to backend servers that keep a state for each connection. */
public interface SessionConnector {

  /**
   * Opens a connection; blocks the calling (virtual) thread.
   *
   * @param server the server, which refuses if it is another one
   * @param customer the customer on whose behalf statements run on the connection
   * @param timeoutMillis how long to try, in milliseconds
   * @throws BackendException if the server cannot be reached or refuses
   */
  ServerConnection connect(ServerRef server, String customer, long timeoutMillis)
      throws BackendException;
}
