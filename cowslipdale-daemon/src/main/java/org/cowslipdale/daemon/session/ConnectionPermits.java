package org.cowslipdale.daemon.session;

/**
 * Limits the number of connections that this VM opens to backend servers.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface ConnectionPermits {

  /** The outcome of a request for a permit. */
  enum PermitResult {
    /** The permit is granted. */
    GRANTED,
    /** The permit is not granted, because other VMs hold all of them. */
    REFUSED,
    /** The control leader did not answer in time. */
    UNANSWERED
  }

  /**
   * Reserves the place of a connection that is about to be opened.
   *
   * @param server the name of the server
   * @param share the number of connections that the VM may open without permits
   * @return whether the VM may open the connection
   */
  boolean tryUse(String server, int share);

  /**
   * Records that a connection was closed or could not be opened.
   *
   * @param server the name of the server
   */
  void recordClosed(String server);

  /**
   * Returns whether a connection that is no longer in use must be closed, because the VM has more
   * connections than it currently may.
   *
   * @param server the name of the server
   * @param share the number of connections that the VM may open without permits
   */
  boolean mustClose(String server, int share);

  /**
   * Requests another permit. Blocks the calling (virtual) thread until the request completes, and
   * for a short pause if no permit is granted.
   *
   * @param server the name of the server
   * @param capacity the number of connections that all VMs together may open to the server
   */
  PermitResult requestPermit(String server, int capacity);

  /**
   * Requests another permit for a request of a priority. Blocks the calling (virtual) thread until
   * the request completes, and for a short pause if no permit is granted.
   *
   * @param server the name of the server
   * @param capacity the number of connections that all VMs together may open to the server
   * @param priority the priority of the request that waits for the connection; 0 is the highest
   */
  default PermitResult requestPermit(String server, int capacity, int priority) {
    return requestPermit(server, capacity);
  }
}
