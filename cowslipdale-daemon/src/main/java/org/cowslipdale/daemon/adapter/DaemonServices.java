package org.cowslipdale.daemon.adapter;

import static java.util.Objects.requireNonNull;

import java.util.function.BooleanSupplier;
import org.cowslipdale.daemon.client.ClientGuard;
import org.cowslipdale.daemon.session.SessionServer;

/**
 * The services of the daemon that the endpoints of an adapter use.
 *
 * @param sessions serves the sessions of callers
 * @param operations handles the requests of operators and backend servers
 * @param ready returns whether this VM is ready for new connections from the balancer
 * @param guard keeps what clients hold within the limits
 */
public record DaemonServices(
    SessionServer sessions, Operations operations, BooleanSupplier ready, ClientGuard guard) {

  /** Checks that every component is set. */
  public DaemonServices {
    requireNonNull(sessions, "sessions");
    requireNonNull(operations, "operations");
    requireNonNull(ready, "ready");
    requireNonNull(guard, "guard");
  }
}
