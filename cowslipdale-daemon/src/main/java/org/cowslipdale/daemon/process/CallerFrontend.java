package org.cowslipdale.daemon.process;

import io.vertx.core.Future;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.daemon.control.BackendAccess;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.TransactionStep;

/** The way of callers' requests through this VM, from their protocol to backend servers. */
interface CallerFrontend extends AutoCloseable {

  /** Returns how the control plane learns of backend servers. */
  BackendAccess backendAccess();

  /** Completes the wiring once the control plane exists. */
  void initialize(ControlPlane control);

  /** Runs a step of a transaction that another VM forwarded. */
  Reply runTransactionStep(TransactionStep step);

  /**
   * Binds the addresses and starts to serve.
   *
   * @throws CowslipException if an address cannot be bound
   */
  void start() throws CowslipException;

  /**
   * Expires what has waited or stayed open for too long.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  void tick(long now);

  /** Asks callers to go elsewhere, as far as that cuts no request; called repeatedly. */
  void drain();

  /** Ends transactions that are still open, because the time for them is over. */
  void endTransactions();

  /** Returns whether requests or transactions are in progress. */
  boolean isBusy();

  /** Stops to accept connections and closes the open ones. */
  Future<Void> stop();

  /** Closes the connections to backend servers. */
  @Override
  void close();
}
