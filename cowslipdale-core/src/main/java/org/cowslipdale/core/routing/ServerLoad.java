package org.cowslipdale.core.routing;

import java.util.Collection;

/** The load and health of servers as seen by this VM, which announcements do not contain. */
public interface ServerLoad {

  /**
   * Returns the number of requests that this VM has queued for a server or running on it.
   *
   * @param server the name of the server
   */
  int outstanding(String server);

  /**
   * Returns whether a statement of a customer would find an idle connection of its own to a server.
   *
   * @param server the name of the server
   * @param customer the name of the customer
   */
  boolean hasIdleConnection(String server, String customer);

  /**
   * Returns whether a server should be avoided because of repeated failures.
   *
   * @param server the name of the server
   * @param group the names of all servers of its group
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  boolean isEjected(String server, Collection<String> group, long now);
}
