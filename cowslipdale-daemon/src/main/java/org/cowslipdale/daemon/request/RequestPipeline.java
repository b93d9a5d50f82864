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

/** Assembles what serves callers' requests. */
public final class RequestPipeline {

  private final TransactionRegistry transactions;
  private final RequestService service;
  private final CallerServer server;

  /**
   * Assembles the parts.
   *
   * @param vertx the Vert.x instance
   * @param settings the settings of the daemon
   * @param views the current view
   * @param backends what reaches backend servers
   * @param limiter keeps customers within their rates
   * @param claims keeps unrepeatable requests from running twice
   * @param forwarder reaches transactions on other VMs
   * @param tracing creates spans
   * @param metrics counts requests
   * @param clock the clocks of the VM
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
    SessionTokenCodec tokens = new SessionTokenCodec(settings.secrets().cluster().getBytes(UTF_8));
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
            new Authenticator(views, tokens, clock),
            limiter,
            claims,
            statements,
            runner,
            forwarder,
            new Replies(tokens),
            clock);
    this.server = new CallerServer(vertx, settings, service, tracing, metrics);
  }

  /** Returns the server for callers. */
  public CallerServer server() {
    return server;
  }

  /** Returns the number of open transactions. */
  public int openTransactions() {
    return transactions.size();
  }

  /**
   * Aborts transactions that have been open for too long.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void expireTransactions(long now) {
    transactions.expire(now);
  }

  /**
   * Runs a step of a transaction that another VM forwarded; blocks.
   *
   * @param step the step
   */
  public Reply runStep(TransactionStep step) {
    return service.handle(step);
  }
}
