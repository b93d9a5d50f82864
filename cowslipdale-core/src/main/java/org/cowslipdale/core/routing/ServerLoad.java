package org.cowslipdale.core.routing;

import java.util.Collection;

/** What a router asks about servers beyond their announcements. */
public interface ServerLoad {

  /**
   * Returns the requests that this VM has queued or running on a server.
   *
   * @param server the name of the server
   */
  int outstanding(String server);

  /**
   * Tells whether a server should be avoided because it keeps failing.
   *
   * @param server the name of the server
   * @param group the names of all servers of its group
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  boolean isEjected(String server, Collection<String> group, long now);
}
