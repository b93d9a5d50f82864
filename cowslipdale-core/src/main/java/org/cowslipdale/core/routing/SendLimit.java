package org.cowslipdale.core.routing;

import org.cowslipdale.core.backend.BackendServer;

/** Limits how often this VM sends statements to a server. */
@FunctionalInterface
public interface SendLimit {

  /** No limit. */
  SendLimit NONE = (server, now) -> Long.MIN_VALUE;

  /**
   * Returns the time before which no statement may be sent to a server, on the VM's monotonic clock
   * in milliseconds; {@link Long#MIN_VALUE} if one may be sent now.
   *
   * @param server the server
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  long notBeforeMillis(BackendServer server, long now);
}
