package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.core.placement.GatewayHealth;
import org.cowslipdale.core.placement.Gateways;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Provides connections through the gateway of their customer where this VM has too few connections
 * of its own, and otherwise from this VM's pools.
 *
 * <p>A gateway that does not answer is avoided for a time; its fallback takes its place, then this
 * VM's own pools. A single read travels to the gateway in one message. For writes and transactions
 * the connection is acquired first, so that a gateway that does not answer is noticed before
 * anything is sent. This class is thread-safe.
 */
public final class GatewayConnections implements ConnectionSource {

  /**
   * How long to wait for an answer beyond the time after which the gateway reports that a request
   * is in progress: one TCP retransmission (200 ms) and a pause of the other VM.
   */
  private static final long ANSWER_MARGIN_MILLIS = 300;

  /**
   * Subtracted from the time limit of a statement at the gateway, so that its report that the
   * server did not reply arrives before this VM stops waiting for the gateway.
   */
  private static final long RUN_MARGIN_MILLIS = 20;

  private final String vm;
  private final String failureDomain;
  private final SessionPools pools;
  private final GatewayLink link;
  private final VmClock clock;
  private final GatewayHealth health = new GatewayHealth();
  private final RelayMetrics metrics = new RelayMetrics();
  private final AtomicLong lastHandle = new AtomicLong();
  private final ConcurrentMap<String, AtomicInteger> outstanding = new ConcurrentHashMap<>();

  /**
   * Creates an instance.
   *
   * @param vm the name of this VM
   * @param failureDomain the failure domain of this VM
   * @param pools the pools of this VM's connections
   * @param link the link to other VMs
   * @param clock the VM's clock
   */
  public GatewayConnections(
      String vm, String failureDomain, SessionPools pools, GatewayLink link, VmClock clock) {
    this.vm = requireNonNull(vm, "vm");
    this.failureDomain = requireNonNull(failureDomain, "failureDomain");
    this.pools = requireNonNull(pools, "pools");
    this.link = requireNonNull(link, "link");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Returns the counters of statements sent to gateways. */
  public RelayMetrics metrics() {
    return metrics;
  }

  @Override
  public Checkout acquire(ConnectionDemand demand) throws RefusalException, BackendException {
    if (!demand.relayable()
        || !Gateways.isNeeded(SessionPools.share(demand.server(), demand.current()))) {
      return pools.acquire(demand);
    }
    Gateways.Key key = new Gateways.Key(demand.customer(), demand.database(), failureDomain);
    List<VmRecord> candidates = Gateways.candidates(key, demand.current().view().vms().values());
    for (VmRecord gateway : candidates) {
      if (gateway.name().equals(vm)) {
        break;
      }
      if (mayRelay(demand, gateway)) {
        Optional<Checkout> relayed = acquireFrom(gateway.name(), demand);
        if (relayed.isPresent()) {
          return relayed.get();
        }
      }
    }
    return pools.acquire(demand);
  }

  @Override
  public void closeIdle(String server) {
    pools.closeIdle(server);
  }

  @Override
  public int outstanding(String server) {
    AtomicInteger relayed = outstanding.get(server);
    return pools.outstanding(server) + (relayed == null ? 0 : relayed.get());
  }

  @Override
  public boolean hasIdleConnection(String server, String customer) {
    return pools.hasIdleConnection(server, customer);
  }

  @Override
  public boolean isEjected(String server, Collection<String> group, long now) {
    return pools.isEjected(server, group, now);
  }

  private boolean mayRelay(ConnectionDemand demand, VmRecord gateway) {
    return Gateways.isAllowed(demand.homeRegions(), gateway)
        && health.tryUse(gateway.name(), clock.millis());
  }

  private Optional<Checkout> acquireFrom(String gateway, ConnectionDemand demand)
      throws RefusalException, BackendException {
    RelayedCheckout checkout = new RelayedCheckout(gateway, demand);
    if (demand.singleRead()) {
      return Optional.of(checkout);
    }
    boolean acquired = false;
    try {
      acquired = checkout.acquire();
    } finally {
      if (!acquired) {
        checkout.close();
      }
    }
    return acquired ? Optional.of(checkout) : Optional.empty();
  }

  /** Avoids a VM that did not answer or does not act as a gateway at present. */
  private void avoid(String gateway, String reason) {
    long now = clock.millis();
    boolean known = health.isAvoided(gateway, now);
    long avoidedMillis = health.failed(gateway, now);
    if (!known) {
      DecisionLog.line(LogEvent.GATEWAY_AVOIDED)
          .with("gateway", gateway)
          .with("reason", reason)
          .with("for_ms", avoidedMillis)
          .write();
    }
  }

  private AtomicInteger outstandingOf(String server) {
    return outstanding.computeIfAbsent(server, name -> new AtomicInteger());
  }

  /** The use of a connection that a gateway holds. */
  private final class RelayedCheckout implements Checkout {

    private final String gateway;
    private final ConnectionDemand demand;
    private final long handle = lastHandle.incrementAndGet();

    /** Whether the gateway has a handle, or may have one because it did not answer. */
    private boolean handleMayExist;

    private boolean acquired;
    private boolean clean;
    private boolean closed;
    private @Nullable RelayTiming timing;

    RelayedCheckout(String gateway, ConnectionDemand demand) {
      this.gateway = gateway;
      this.demand = demand;
      outstandingOf(demand.server().name()).incrementAndGet();
    }

    /** Returns whether the gateway holds a connection; false if another VM must hold it. */
    boolean acquire() throws RefusalException, BackendException {
      GatewayReply reply;
      try {
        reply = requestInSteps(createAcquire(demand.prepared()), demand.deadlineMillis());
      } catch (RelayException e) {
        if (Thread.currentThread().isInterrupted()) {
          throw new RefusalException(ResultCode.SHUTTING_DOWN);
        }
        return false;
      }
      switch (reply) {
        case GatewayReply.Acquired held -> {
          health.answered(gateway);
          acquired = true;
          return true;
        }
        case GatewayReply.Pending pending ->
            throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
        case GatewayReply.Refused refused -> {
          handleMayExist = false;
          metrics.record(RelayMetrics.Result.REFUSED);
          throw new RefusalException(refused.code());
        }
        case GatewayReply.ConnectFailed failed -> {
          handleMayExist = false;
          throw toException(failed);
        }
        case GatewayReply.Declined declined -> {
          handleDeclined(declined);
          return false;
        }
        case GatewayReply.Ran ran -> throw unexpected(ran);
        case GatewayReply.Broken broken -> {
          metrics.record(RelayMetrics.Result.BROKEN);
          return false;
        }
        case GatewayReply.HandleLost lost -> {
          metrics.record(RelayMetrics.Result.DECLINED);
          return false;
        }
      }
    }

    /** Has no effect: the gateway gave the connection the values when it was acquired. */
    @Override
    public void applyValues(Map<String, String> values, long timeoutMillis) {}

    /** Has no effect: the gateway prepares the statement itself. */
    @Override
    public void prepare(PreparedStatement prepared, long timeoutMillis) {}

    @Override
    public void assign(String name, String value, long timeoutMillis) throws BackendException {
      execute(new Statement.Assign("", "", name, value), null, null, timeoutMillis);
    }

    @Override
    public ServerReply execute(
        Statement statement,
        @Nullable PreparedStatement prepared,
        @Nullable LogPosition after,
        long timeoutMillis)
        throws BackendException {
      long limitMillis = Math.max(1, timeoutMillis - RUN_MARGIN_MILLIS);
      GatewayRequest.Run run =
          new GatewayRequest.Run(handle, statement, prepared, after, limitMillis);
      long sentMillis = clock.millis();
      GatewayReply reply;
      if (acquired) {
        reply =
            statement instanceof Statement.Begin
                ? requestInSteps(run, sentMillis + timeoutMillis)
                : request(run, timeoutMillis);
      } else {
        reply =
            requestInSteps(
                new GatewayRequest.Read(createAcquire(null), run), sentMillis + timeoutMillis);
        handleMayExist = reply instanceof GatewayReply.Pending;
      }
      return toServerReply(reply, sentMillis);
    }

    @Override
    public Optional<RelayTiming> relayTiming() {
      return Optional.ofNullable(timing);
    }

    @Override
    public void markDiscarded() {
      metrics.record(RelayMetrics.Result.DISCARDED);
    }

    @Override
    public void markClean() {
      clean = true;
    }

    @Override
    public void close() {
      if (closed) {
        return;
      }
      closed = true;
      outstandingOf(demand.server().name()).decrementAndGet();
      if (handleMayExist) {
        link.send(gateway, new GatewayRequest.Release(handle, clean));
      }
    }

    private GatewayRequest.Acquire createAcquire(@Nullable PreparedStatement prepared) {
      long now = clock.millis();
      return new GatewayRequest.Acquire(
          handle,
          demand.database(),
          demand.server().name(),
          demand.customer(),
          demand.priority(),
          demand.values(),
          prepared,
          Math.max(1, demand.slotDeadlineMillis() - now),
          Math.max(1, demand.deadlineMillis() - now));
    }

    /**
     * Sends a request that may be repeated elsewhere, and awaits its result with one message after
     * the other, so that a gateway that does not answer is noticed soon.
     *
     * @return the result, or {@link GatewayReply.Pending} if there is none by the deadline
     */
    private GatewayReply requestInSteps(GatewayRequest first, long deadlineMillis)
        throws RelayException {
      GatewayReply reply = request(first, stepTimeout(deadlineMillis));
      while (reply instanceof GatewayReply.Pending && clock.millis() < deadlineMillis) {
        reply = request(new GatewayRequest.Await(handle), stepTimeout(deadlineMillis));
      }
      return reply;
    }

    private long stepTimeout(long deadlineMillis) {
      return Math.clamp(
          deadlineMillis - clock.millis(),
          1,
          GatewayService.PENDING_AFTER_MILLIS + ANSWER_MARGIN_MILLIS);
    }

    private GatewayReply request(GatewayRequest request, long timeoutMillis) throws RelayException {
      handleMayExist = true;
      long sentMillis = clock.millis();
      try {
        return link.request(gateway, request, timeoutMillis).get();
      } catch (ExecutionException e) {
        long waitedMillis = clock.millis() - sentMillis;
        metrics.record(RelayMetrics.Result.UNANSWERED);
        if (waitedMillis < timeoutMillis || waitedMillis >= ANSWER_MARGIN_MILLIS) {
          avoid(gateway, String.valueOf(e.getCause()));
        }
        throw RelayException.noAnswer(gateway);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw RelayException.noAnswer(gateway);
      }
    }

    private ServerReply toServerReply(GatewayReply reply, long sentMillis) throws BackendException {
      return switch (reply) {
        case GatewayReply.Ran ran -> {
          health.answered(gateway);
          metrics.record(RelayMetrics.Result.RAN);
          timing = new RelayTiming(gateway, clock.millis() - sentMillis, ran.serverMillis());
          yield ran.reply();
        }
        case GatewayReply.Broken broken -> {
          metrics.record(RelayMetrics.Result.BROKEN);
          throw new BackendException(
              broken.mayHaveReachedServer(), new IOException(broken.reason()));
        }
        case GatewayReply.Pending pending -> {
          metrics.record(RelayMetrics.Result.BROKEN);
          throw new BackendException(true, new IOException("the server did not reply in time"));
        }
        case GatewayReply.Refused refused -> {
          metrics.record(RelayMetrics.Result.REFUSED);
          throw RelayException.refused(gateway, refused.code());
        }
        case GatewayReply.ConnectFailed failed -> throw toException(failed);
        case GatewayReply.Declined declined -> {
          handleDeclined(declined);
          throw RelayException.notSent(gateway, declined.code().name());
        }
        case GatewayReply.HandleLost lost -> {
          metrics.record(RelayMetrics.Result.DECLINED);
          throw RelayException.notSent(gateway, "the handle was closed");
        }
        case GatewayReply.Acquired held -> throw unexpected(held);
      };
    }

    private void handleDeclined(GatewayReply.Declined declined) {
      handleMayExist = false;
      metrics.record(RelayMetrics.Result.DECLINED);
      avoid(gateway, declined.code().name());
    }

    private BackendException toException(GatewayReply.ConnectFailed failed) {
      metrics.record(RelayMetrics.Result.REFUSED);
      ServerFailure failure = failed.failure();
      return failure == null
          ? new BackendException(false, new IOException(failed.reason()))
          : new BackendException(failure);
    }

    /** Returns the exception for a reply that the protocol does not provide for. */
    private RelayException unexpected(GatewayReply reply) {
      metrics.record(RelayMetrics.Result.UNANSWERED);
      avoid(gateway, "unexpected reply " + reply.getClass().getSimpleName());
      return RelayException.noAnswer(gateway);
    }
  }
}
