package org.cowslipdale.daemon.adapter;

import static java.util.Objects.requireNonNull;

import java.util.function.BooleanSupplier;
import org.cowslipdale.daemon.session.SessionServer;

/**
 * The services of the daemon that endpoints of an adapter use.
 *
 * @param sessions serves callers' sessions
 * @param operations takes in what operators and backend servers send
 * @param ready tells whether the VM wants new connections
 */
public record DaemonServices(SessionServer sessions, Operations operations, BooleanSupplier ready) {

  /** Asserts that every component is set. */
  public DaemonServices {
    requireNonNull(sessions, "sessions");
    requireNonNull(operations, "operations");
    requireNonNull(ready, "ready");
  }
}
