package org.cowslipdale.daemon.request;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import io.vertx.core.Vertx;
import org.cowslipdale.config.settings.DaemonSettings;
import org.cowslipdale.core.session.SessionTokenCodec;
import org.cowslipdale.daemon.telemetry.RequestMetrics;
import org.cowslipdale.daemon.telemetry.Tracing;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/** Creates and connects the components that process the HTTP requests of callers. */
public final class RequestPipeline {

  private final TransactionRegistry transactions;
  private final RequestService service;
  private final CallerServer server;

  /**
   * Creates the components.
   *
   * @param vertx the Vert.x instance
   * @param settings the settings of the daemon
   * @param views holds the current view and lease
   * @param backends the components through which requests reach backend servers
   * @param limiter enforces the request rates of customers
   * @param claims ensures that requests that are not repeatable run at most once
   * @param forwarder forwards steps of transactions to the VMs that hold them
   * @param tracing creates trace spans
   * @param metrics records requests by status and duration
   * @param clock the clock of this VM
   */
  public RequestPipeline(
      Vertx vertx,
      DaemonSettings settings,
      ViewHolder views,
      Backends backends,
      RateLimiter limiter,
      RequestClaims claims,
      TransactionForwarder forwarder,
      Tracing tracing,
      RequestMetrics metrics,
      VmClock clock) {
    requireNonNull(settings, "settings");
    SessionTokenCodec tokenCodec =
        new SessionTokenCodec(settings.secrets().cluster().getBytes(UTF_8));
    Acknowledger acknowledger = new Acknowledger(views, backends, clock);
    StatementRunner statements = new StatementRunner(views, backends, acknowledger, tracing, clock);
    this.transactions = new TransactionRegistry(settings.vm().name());
    TransactionRunner runner =
        new TransactionRunner(
            transactions, statements, acknowledger, clock, settings.limits().transactionMillis());
    this.service =
        new RequestService(
            settings.vm().name(),
            views,
            new Authenticator(views, tokenCodec, clock),
            limiter,
            claims,
            statements,
            runner,
            forwarder,
            new Replies(tokenCodec),
            clock);
    this.server = new CallerServer(vertx, settings, service, tracing, metrics);
  }

  /** Returns the HTTP server for callers. */
  public CallerServer server() {
    return server;
  }

  /** Returns the number of open transactions on this VM. */
  public int openTransactions() {
    return transactions.size();
  }

  /**
   * Aborts transactions whose deadline has passed.
   *
   * @param now the current time in milliseconds of the VM's monotonic clock
   */
  public void expireTransactions(long now) {
    transactions.expire(now);
  }

  /**
   * Runs a step that another VM forwarded, of a transaction that this VM holds. Blocks until the
   * step has completed.
   *
   * @param step the step
   */
  public Reply runStep(TransactionStep step) {
    return service.handle(step);
  }
}
