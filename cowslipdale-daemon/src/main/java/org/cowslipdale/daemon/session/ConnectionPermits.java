package org.cowslipdale.daemon.session;

/** Tells how many connections to servers this VM may open; safe for use by several threads. */
public interface ConnectionPermits {

  /**
   * Takes a permit for a connection that is about to be opened, if there is one.
   *
   * @param server the name of the server
   * @param share how many connections the VM may open without asking
   */
  boolean tryUse(String server, int share);

  /**
   * Takes in that a connection is closed or was not opened.
   *
   * @param server the name of the server
   */
  void recordClosed(String server);

  /**
   * Tells whether a connection that is not in use any more has to be closed.
   *
   * @param server the name of the server
   * @param share how many connections the VM may open without asking
   */
  boolean mustClose(String server, int share);

  /**
   * Asks for another permit; blocks the calling (virtual) thread for a moment at most.
   *
   * @param server the name of the server
   * @param capacity how many connections all VMs may have to the server together
   */
  void requestPermit(String server, int capacity);
}
