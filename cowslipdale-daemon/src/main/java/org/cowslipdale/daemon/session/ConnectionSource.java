package org.cowslipdale.daemon.session;

import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.routing.ServerLoad;
import org.cowslipdale.daemon.connection.BackendException;

/** Provides the connections on which the statements of sessions run. */
public sealed interface ConnectionSource extends ServerLoad
    permits SessionPools, GatewayConnections {

  /**
   * Waits for a slot and a connection; blocks the calling (virtual) thread.
   *
   * @param demand the demand of the statement
   * @throws RefusalException if there is no slot or permit in time, or the queue is full; nothing
   *     was sent
   * @throws BackendException if no connection can be opened; nothing was sent
   */
  Checkout acquire(ConnectionDemand demand) throws RefusalException, BackendException;

  /**
   * Closes this VM's idle connections to a server.
   *
   * @param server the name of the server
   */
  void closeIdle(String server);
}
