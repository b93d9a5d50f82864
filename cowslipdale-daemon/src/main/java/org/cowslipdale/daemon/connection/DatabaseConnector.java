package org.cowslipdale.daemon.connection;

import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;

/**
 * Connects to backend servers; each database protocol has its own implementation.
 *
 * <p>The methods block the calling (virtual) thread.
 */
public interface DatabaseConnector extends ServerStatusClient {

  /**
   * Opens a connection.
   *
   * @param address the address of the server
   * @param timeoutMillis the timeout in milliseconds
   * @throws BackendException if the server cannot be reached
   */
  BackendConnection connect(String address, long timeoutMillis) throws BackendException;

  /**
   * Instructs a server to enter a term, as its primary or as a replica.
   *
   * @param address the address of the server
   * @param promotion the term and its primary
   * @param timeoutMillis the timeout in milliseconds
   * @throws BackendException if the server does not confirm
   */
  ServerStatus promote(String address, PromotionCall promotion, long timeoutMillis)
      throws BackendException;

  /**
   * Waits until a server has applied its log up to an offset.
   *
   * @param address the address of the server
   * @param offset the log offset
   * @param timeoutMillis the timeout in milliseconds
   * @return the status of the server when it reached the offset or the wait timed out
   * @throws BackendException if the server does not answer
   */
  ServerStatus awaitOffset(String address, long offset, long timeoutMillis) throws BackendException;
}
