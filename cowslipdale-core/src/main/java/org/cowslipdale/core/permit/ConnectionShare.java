package org.cowslipdale.core.permit;

/** The equal share of the connections of a server that a VM may open without asking. */
public final class ConnectionShare {

  /** Connections of a server that are left for questions about its state. */
  private static final int RESERVED_CONNECTIONS = 2;

  private ConnectionShare() {}

  /**
   * Returns how many connections all VMs together may have to a server.
   *
   * @param limit how many connections the server accepts
   */
  public static int capacity(int limit) {
    return Math.max(1, limit - RESERVED_CONNECTIONS);
  }

  /**
   * Returns the share of one VM; 0 if there are more VMs than connections.
   *
   * @param limit how many connections the server accepts
   * @param vms how many VMs share them
   */
  public static int of(int limit, int vms) {
    return capacity(limit) / Math.max(1, vms);
  }
}
