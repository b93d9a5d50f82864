package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.cowslipdale.core.admission.RequestProfile;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.TransactionState;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds connections to backend servers for other VMs, and runs their statements on them.
 *
 * <p>A requester uses a connection through a handle. The handle is closed when the requester
 * releases it, when the requester's peer connection ends, or when the requester has sent nothing
 * for the idle limit of transactions. Its connection returns to the pool only if the requester
 * released it as clean and the latest reply of the server left no transaction open; otherwise it is
 * closed, and the server rolls back. Each request runs on a virtual thread. This class is
 * thread-safe.
 */
public final class GatewayService implements GatewayHandler {

  /** The maximum number of handles; a request for another one is declined. */
  static final int MAX_HANDLES = 512;

  /**
   * The time after which a request that may be repeated is answered with {@link
   * GatewayReply.Pending}, so that the requester soon notices a gateway that does not answer.
   */
  static final long PENDING_AFTER_MILLIS = 200;

  /**
   * Added to the idle limit of transactions, so that the requester, which observes the same limit,
   * ends an idle transaction first and reports that to its caller.
   */
  private static final long IDLE_MARGIN_MILLIS = 1_000;

  /**
   * The minimum wait for a reply after which reaching the limit counts as a failure of the server's
   * connections; a shorter wait does not show that the server is at fault.
   */
  private static final long MIN_UNANSWERED_MILLIS = 400;

  /** Relayed statements share a mean service time, because requests do not name their route. */
  private static final String RELAYED_CLASS = "relayed";

  private static final Logger LOG = LoggerFactory.getLogger(GatewayService.class);

  private final SessionPools pools;
  private final ViewHolder views;
  private final BackendRegistry registry;
  private final VmClock clock;
  private final ConcurrentMap<HandleKey, Handle> handles = new ConcurrentHashMap<>();
  private final AtomicInteger handleCount = new AtomicInteger();
  private final AtomicInteger repliesInProgress = new AtomicInteger();
  private volatile boolean draining;

  private record HandleKey(long connectionId, long number) {}

  /**
   * Creates the service.
   *
   * @param pools the pools of this VM's connections
   * @param views the holder of the current view
   * @param registry the backend servers that announced themselves
   * @param clock the VM's clock
   */
  public GatewayService(
      SessionPools pools, ViewHolder views, BackendRegistry registry, VmClock clock) {
    this.pools = requireNonNull(pools, "pools");
    this.views = requireNonNull(views, "views");
    this.registry = requireNonNull(registry, "registry");
    this.clock = requireNonNull(clock, "clock");
  }

  @Override
  public void handle(
      String requester, long connectionId, GatewayRequest request, ReplySender replies) {
    long receivedMillis = clock.millis();
    HandleKey key = new HandleKey(connectionId, request.handle());
    switch (request) {
      case GatewayRequest.Acquire acquire ->
          open(requester, key, replies, handle -> acquire(handle, acquire, receivedMillis));
      case GatewayRequest.Read read ->
          open(requester, key, replies, handle -> read(handle, read, receivedMillis));
      case GatewayRequest.Run run -> {
        Handle handle = handles.get(key);
        if (handle == null || !handle.begin()) {
          send(replies, new GatewayReply.HandleLost());
        } else {
          start(handle, active -> run(active, run, receivedMillis));
          if (run.statement() instanceof Statement.Begin) {
            replyOrPending(replies, handle);
          } else {
            reply(replies, handle.result);
          }
        }
      }
      case GatewayRequest.Await await -> {
        Handle handle = handles.get(key);
        if (handle == null) {
          send(replies, new GatewayReply.HandleLost());
        } else {
          replyOrPending(replies, handle);
        }
      }
      case GatewayRequest.Release release -> {
        Handle handle = handles.get(key);
        if (handle != null) {
          handle.release(release.clean());
        }
      }
    }
  }

  @Override
  public void handleDisconnect(long connectionId) {
    handles.forEach(
        (key, handle) -> {
          if (key.connectionId() == connectionId) {
            handle.release(false);
          }
        });
  }

  /** Returns the number of open handles. */
  public int openCount() {
    return handleCount.get();
  }

  /** Returns whether another VM waits for a reply or has an open handle. */
  public boolean isBusy() {
    return openCount() > 0 || repliesInProgress.get() > 0;
  }

  /** Declines requests for new handles from now on; open handles can still be used. */
  public void drain() {
    draining = true;
  }

  /** Closes the handles on which no statement is in progress; the server rolls back. */
  public void endTransactions() {
    handles.values().forEach(handle -> handle.releaseIfIdleSince(clock.millis()));
  }

  /**
   * Closes the handles whose requester has sent nothing for the idle limit of transactions.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void tick(long now) {
    if (handles.isEmpty()) {
      return;
    }
    long limit = views.get().view().configuration().transactionIdleMillis() + IDLE_MARGIN_MILLIS;
    handles.values().forEach(handle -> handle.releaseIfIdleSince(now - limit));
  }

  /** Opens a handle and starts its first request, or declines it. */
  private void open(
      String requester, HandleKey key, ReplySender replies, Function<Handle, GatewayReply> task) {
    ResultCode reason = findReasonToDecline();
    if (reason != null) {
      send(replies, new GatewayReply.Declined(reason));
      return;
    }
    Handle handle = new Handle(requester, key);
    if (handles.putIfAbsent(key, handle) != null) {
      handleCount.decrementAndGet();
      send(replies, new GatewayReply.Declined(ResultCode.BAD_REQUEST));
      return;
    }
    start(handle, task);
    replyOrPending(replies, handle);
  }

  /** Returns why no handle can be opened; otherwise counts one more handle and returns null. */
  private @Nullable ResultCode findReasonToDecline() {
    if (draining) {
      return ResultCode.SHUTTING_DOWN;
    }
    long expiredMillis = views.get().lease().expiredForMillis(clock.millis());
    if (expiredMillis >= LeaseTimings.KEY_GRACE_MILLIS) {
      return ResultCode.NO_LEASE;
    }
    if (handleCount.incrementAndGet() > MAX_HANDLES) {
      handleCount.decrementAndGet();
      return ResultCode.OVERLOADED;
    }
    return null;
  }

  private void start(Handle handle, Function<Handle, GatewayReply> task) {
    Thread.startVirtualThread(() -> handle.finish(runSafely(handle, task)));
  }

  /** Runs a task; after an unexpected error it is not known what has reached the server. */
  private static GatewayReply runSafely(Handle handle, Function<Handle, GatewayReply> task) {
    try {
      return task.apply(handle);
    } catch (RuntimeException e) {
      LOG.error("Request for a handle failed unexpectedly", e);
      handle.markUnusable();
      return new GatewayReply.Broken(true, String.valueOf(e));
    }
  }

  private GatewayReply acquire(Handle handle, GatewayRequest.Acquire request, long receivedMillis) {
    CurrentView current = views.get();
    Optional<BackendServer> server = registry.group(request.database()).server(request.server());
    if (server.isEmpty()) {
      return new GatewayReply.Declined(ResultCode.BACKEND_UNREACHABLE);
    }
    ConnectionDemand demand =
        new ConnectionDemand(
            server.get(),
            current,
            new RequestProfile(
                request.customer(),
                Math.max(0, request.priority()),
                receivedMillis + request.limitMillis(),
                RELAYED_CLASS),
            Set.of(),
            request.values(),
            request.prepared(),
            false,
            false,
            receivedMillis + request.slotWaitMillis(),
            receivedMillis + request.limitMillis(),
            new StatementWaits());
    try {
      Checkout checkout = pools.acquire(demand);
      handle.setCheckout(request.server(), checkout);
      checkout.applyValues(request.values(), remainingMillis(demand.deadlineMillis()));
      if (request.prepared() != null) {
        checkout.prepare(request.prepared(), remainingMillis(demand.deadlineMillis()));
      }
      return new GatewayReply.Acquired();
    } catch (RefusalException e) {
      return new GatewayReply.Refused(e.code());
    } catch (BackendException e) {
      handle.markUnusable();
      return new GatewayReply.ConnectFailed(e.failure().orElse(null), String.valueOf(e.getCause()));
    }
  }

  private GatewayReply read(Handle handle, GatewayRequest.Read request, long receivedMillis) {
    GatewayReply acquired = acquire(handle, request.acquire(), receivedMillis);
    return acquired instanceof GatewayReply.Acquired
        ? run(handle, request.run(), receivedMillis)
        : acquired;
  }

  private GatewayReply run(Handle handle, GatewayRequest.Run request, long receivedMillis) {
    Checkout checkout = handle.startStatement();
    if (checkout == null) {
      return new GatewayReply.HandleLost();
    }
    long deadlineMillis = receivedMillis + request.limitMillis();
    long sentMillis = clock.millis();
    try {
      ServerReply reply = execute(checkout, request, remainingMillis(deadlineMillis));
      handle.recordState(reply.state());
      return new GatewayReply.Ran(reply, sentMillis - receivedMillis, clock.millis() - sentMillis);
    } catch (BackendException e) {
      handle.markUnusable();
      long now = clock.millis();
      if (now < deadlineMillis || now - sentMillis >= MIN_UNANSWERED_MILLIS) {
        handle.closeIdleConnections();
      }
      return new GatewayReply.Broken(e.mayHaveReachedServer(), String.valueOf(e.getCause()));
    }
  }

  private static ServerReply execute(
      Checkout checkout, GatewayRequest.Run request, long timeoutMillis) throws BackendException {
    if (request.statement() instanceof Statement.Assign assign) {
      checkout.assign(assign.name(), assign.value(), timeoutMillis);
      return new ServerReply(List.of(), "", null, TransactionState.OPEN, null);
    }
    return checkout.execute(
        request.statement(), request.prepared(), request.minPosition(), timeoutMillis);
  }

  private long remainingMillis(long deadlineMillis) {
    return Math.max(1, deadlineMillis - clock.millis());
  }

  private void replyOrPending(ReplySender replies, Handle handle) {
    reply(
        replies,
        handle
            .result
            .copy()
            .completeOnTimeout(
                new GatewayReply.Pending(), PENDING_AFTER_MILLIS, TimeUnit.MILLISECONDS)
            .thenApply(
                reply -> {
                  if (!(reply instanceof GatewayReply.Pending)) {
                    handle.removeIfEnded();
                  }
                  return reply;
                }));
  }

  private void reply(ReplySender replies, CompletableFuture<GatewayReply> result) {
    repliesInProgress.incrementAndGet();
    result
        .thenCompose(reply -> replies.send(reply))
        .whenComplete((nothing, failure) -> repliesInProgress.decrementAndGet());
  }

  private void send(ReplySender replies, GatewayReply reply) {
    reply(replies, CompletableFuture.completedFuture(reply));
  }

  /**
   * The use of a connection by another VM. A handle whose first request did not leave it with a
   * connection remains until the result of that request was sent.
   */
  private final class Handle {

    private final String requester;
    private final HandleKey key;
    private volatile CompletableFuture<GatewayReply> result = new CompletableFuture<>();
    private String server = "";
    private @Nullable Checkout checkout;
    private boolean busy = true;
    private boolean opened;
    private boolean released;
    private boolean releasedClean;
    private boolean checkoutClosed;

    /** Whether the first request completed and left no connection. */
    private boolean ended;

    private boolean statementStarted;

    /** Whether the server's latest reply shows that no transaction is open. */
    private boolean connectionIdle = true;

    private long lastUsedMillis = clock.millis();

    Handle(String requester, HandleKey key) {
      this.requester = requester;
      this.key = key;
    }

    /** Begins another request; returns false if the handle cannot be used. */
    synchronized boolean begin() {
      if (busy || released || ended) {
        return false;
      }
      busy = true;
      result = new CompletableFuture<>();
      return true;
    }

    synchronized void setCheckout(String serverName, Checkout acquired) {
      server = serverName;
      checkout = acquired;
    }

    /** Returns the connection for a statement, or null if the handle was closed meanwhile. */
    synchronized @Nullable Checkout startStatement() {
      if (released) {
        return null;
      }
      connectionIdle = false;
      statementStarted = true;
      return checkout;
    }

    synchronized void recordState(TransactionState state) {
      connectionIdle = state == TransactionState.IDLE;
    }

    synchronized void markUnusable() {
      connectionIdle = false;
    }

    void closeIdleConnections() {
      pools.closeIdle(server);
    }

    /** Completes the request in progress, and closes the connection if nothing will use it. */
    void finish(GatewayReply reply) {
      boolean removable;
      boolean closable;
      synchronized (this) {
        busy = false;
        lastUsedMillis = clock.millis();
        if (!opened) {
          opened = true;
          ended = !(reply instanceof GatewayReply.Acquired);
          releasedClean = ended;
        }
        removable = released;
        closable = released || ended;
      }
      if (closable) {
        closeCheckout();
      }
      if (removable) {
        remove();
      }
      result.complete(reply);
    }

    /** Ends the use of the handle, after the request in progress if there is one. */
    void release(boolean clean) {
      synchronized (this) {
        if (released) {
          return;
        }
        released = true;
        releasedClean = releasedClean || clean;
        if (busy) {
          return;
        }
      }
      closeCheckout();
      remove();
    }

    void releaseIfIdleSince(long millis) {
      boolean idle;
      synchronized (this) {
        idle = !busy && lastUsedMillis <= millis;
      }
      if (idle) {
        LOG.info("closing a connection to {} that {} does not use", server, requester);
        release(false);
      }
    }

    void removeIfEnded() {
      boolean removable;
      synchronized (this) {
        removable = ended;
      }
      if (removable) {
        remove();
      }
    }

    private void closeCheckout() {
      Checkout closing;
      boolean clean;
      synchronized (this) {
        if (checkout == null || checkoutClosed) {
          return;
        }
        checkoutClosed = true;
        closing = checkout;
        clean = connectionIdle && (releasedClean || !statementStarted);
      }
      if (clean) {
        closing.markClean();
      }
      closing.close();
    }

    private void remove() {
      if (handles.remove(key, this)) {
        handleCount.decrementAndGet();
      }
    }
  }
}
