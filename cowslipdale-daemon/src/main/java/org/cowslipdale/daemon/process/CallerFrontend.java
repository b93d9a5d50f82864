package org.cowslipdale.daemon.process;

import io.vertx.core.Future;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.daemon.control.BackendAccess;
import org.cowslipdale.daemon.control.ControlPlane;
import org.cowslipdale.daemon.request.Reply;
import org.cowslipdale.daemon.request.TransactionStep;

/**
 * Accepts callers' connections and passes their requests to backend servers.
 *
 * <p>There is one implementation for each kind of protocol between callers and this VM.
 */
interface CallerFrontend extends AutoCloseable {

  /** Returns how the control plane observes and promotes backend servers. */
  BackendAccess backendAccess();

  /** Creates the components that depend on the control plane; called once, before the start. */
  void initialize(ControlPlane control);

  /** Runs a transaction step that another VM forwarded. */
  Reply runTransactionStep(TransactionStep step);

  /**
   * Binds the addresses and starts serving.
   *
   * @throws CowslipException if an address cannot be bound
   */
  void start() throws CowslipException;

  /**
   * Expires queued requests and open transactions whose time limit has passed, and does periodic
   * cleanup.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  void tick(long now);

  /**
   * Closes connections, or asks callers to close them, as soon as no request is in progress on
   * them.
   *
   * <p>A shutdown calls this repeatedly.
   */
  void drain();

  /** Ends transactions that are still open when their share of the drain limit has passed. */
  void endTransactions();

  /**
   * Ends requests that are still in progress shortly before the drain limit, and answers them
   * truthfully.
   */
  void endRequests();

  /** Returns whether requests or transactions are in progress. */
  boolean isBusy();

  /** Stops accepting connections and closes the open ones. */
  Future<Void> stop();

  /** Closes the connections to backend servers. */
  @Override
  void close();
}
