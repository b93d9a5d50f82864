package org.cowslipdale.daemon.connection;

import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;

/**
 * The boundary towards backend servers: one implementation per database protocol.
 *
 * <p>The methods block the calling (virtual) thread.
 */
public interface DatabaseConnector extends ServerStatusClient {

  /**
   * Opens a connection.
   *
   * @param address the address of the server
   * @param timeoutMillis how long to try, in milliseconds
   * @throws BackendException if the server cannot be reached
   */
  BackendConnection connect(String address, long timeoutMillis) throws BackendException;

  /**
   * Orders a server into a term.
   *
   * @param address the address of the server
   * @param promotion the order
   * @param timeoutMillis how long to wait, in milliseconds
   * @throws BackendException if the server does not confirm
   */
  ServerStatus promote(String address, PromotionCall promotion, long timeoutMillis)
      throws BackendException;

  /**
   * Waits until a server has applied a log offset.
   *
   * @param address the address of the server
   * @param offset the log offset
   * @param timeoutMillis how long to wait, in milliseconds
   * @return the state of the server when it reached the offset or the time was up
   * @throws BackendException if the server does not answer
   */
  ServerStatus awaitOffset(String address, long offset, long timeoutMillis) throws BackendException;
}
