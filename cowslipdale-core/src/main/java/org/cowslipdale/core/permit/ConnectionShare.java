package org.cowslipdale.core.permit;

/** Computes the equal share of a server's connections that a VM may open without permits. */
public final class ConnectionShare {

  /** Connections of a server that stay free for queries of its state. */
  private static final int RESERVED_CONNECTIONS = 2;

  private ConnectionShare() {}

  /**
   * Returns how many connections all VMs together may open to a server.
   *
   * @param limit the number of connections that the server accepts
   */
  public static int capacity(int limit) {
    return Math.max(1, limit - RESERVED_CONNECTIONS);
  }

  /**
   * Returns the share of one VM, or 0 if there are more VMs than connections.
   *
   * @param limit the number of connections that the server accepts
   * @param vms the number of VMs that share them
   */
  public static int of(int limit, int vms) {
    return capacity(limit) / Math.max(1, vms);
  }
}
