package org.cowslipdale.daemon.client;

import static java.util.Objects.requireNonNull;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowslipdale.core.budget.ByteBudget;
import org.cowslipdale.core.budget.ByteBudget.Holder;
import org.cowslipdale.core.budget.ClientLimits;
import org.cowslipdale.core.budget.ClientLimits.Reason;
import org.cowslipdale.core.budget.ClientLimits.Use;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps what clients hold of a VM within its limits: the budget of bytes, the connections, and the
 * time that messages and replies take.
 *
 * <p>A message that does not fit into the budget waits, while its connection is not read. After
 * {@value #REFUSE_AFTER_MILLIS} ms it is refused. While any message waits, the connection that
 * holds most for longest without progress is closed. This class is thread-safe.
 */
public final class ClientGuard {

  private static final long TICK_MILLIS = 250;

  /** A longer gap between ticks means that this VM was suspended, not that clients were slow. */
  private static final long MAX_COUNTED_MILLIS = 2 * TICK_MILLIS;

  /** Callers may wait longer for a large message than for a small one, but not for their limit. */
  private static final long REFUSE_AFTER_MILLIS = 2_000;

  /** The bytes that a connection has received at most when it stops to be read. */
  private static final long WAITING_BYTES = 64L << 10;

  private static final long CLOSE_AFTER_WAIT_MILLIS = 500;

  /** The minimum time between two lines of the log; the next line tells how many were left out. */
  private static final long LOG_INTERVAL_MILLIS = 1_000;

  /** The time that a client has for its headers, after the time for which it may be idle. */
  private static final long HEADER_MILLIS = 3_000;

  private final ByteBudget budget;
  private final ClientLimits limits;
  private final Vertx vertx;
  private final VmClock clock;
  private final Context context;
  private final MeterRegistry meters;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private final Map<Port, Integer> counts = new EnumMap<>(Port.class);
  private final Deque<Waiter> waiters = new ArrayDeque<>();
  private final AtomicBoolean grantScheduled = new AtomicBoolean();
  private volatile boolean waiting;
  private long lastTickMillis;
  private long nextLogMillis;
  private int unloggedCount;

  /** The ports on which clients connect. Each has a share of the connections. */
  public enum Port {
    /** Sessions of callers. */
    SESSIONS(6),
    /** HTTP requests of operators and backend servers. */
    MAIN_HTTP(6),
    /** Administration, metrics and health checks. */
    ADMIN(1),
    /** Other VMs before their handshake. */
    PEERS(1);

    private final int eighths;

    Port(int eighths) {
      this.eighths = eighths;
    }

    int maxConnections(ClientLimits limits) {
      return Math.max(1, limits.maxConnections() / 8 * eighths);
    }

    long helloMillis(ClientLimits limits) {
      return switch (this) {
        case SESSIONS -> limits.helloMillis();
        case MAIN_HTTP, ADMIN -> limits.helloMillis() + HEADER_MILLIS;
        case PEERS -> limits.peerHelloMillis();
      };
    }
  }

  /** A message that waits for memory. */
  private record Waiter(
      MemoryClaim claim,
      long bytes,
      boolean large,
      Context context,
      long sinceMillis,
      Runnable granted,
      Runnable refused) {}

  /**
   * Creates a guard.
   *
   * @param vertx the Vert.x instance
   * @param clock the clocks of this VM
   * @param meters receives the metrics
   * @param maxHeldBytes the budget; 0 for a third of the heap
   * @param limits the limits on connections
   * @throws CowslipException if the budget does not fit the heap
   */
  public ClientGuard(
      Vertx vertx, VmClock clock, MeterRegistry meters, long maxHeldBytes, ClientLimits limits)
      throws CowslipException {
    this.vertx = requireNonNull(vertx, "vertx");
    this.clock = requireNonNull(clock, "clock");
    this.meters = requireNonNull(meters, "meters");
    this.limits = requireNonNull(limits, "limits");
    this.budget = new ByteBudget(checkedBudget(maxHeldBytes, Runtime.getRuntime().maxMemory()));
    this.context = vertx.getOrCreateContext();
    this.lastTickMillis = clock.millis();
    for (Holder holder : Holder.values()) {
      Gauge.builder("cowslipdale.clients.held.bytes", budget, b -> b.held(holder))
          .tag("holder", holder.label())
          .description("Bytes held for clients")
          .register(meters);
    }
    Gauge.builder("cowslipdale.clients.connections", this, ClientGuard::connectionCount)
        .description("Connections of clients")
        .register(meters);
  }

  /**
   * Returns the budget to use.
   *
   * @param maxHeldBytes the configured budget; 0 for a third of the heap
   * @param heapBytes the maximum size of the heap
   * @throws CowslipException if the budget has no room for a large message or leaves less than a
   *     third of the heap for everything else
   */
  static long checkedBudget(long maxHeldBytes, long heapBytes) throws CowslipException {
    long bytes = maxHeldBytes == 0 ? heapBytes / 3 : maxHeldBytes;
    long minimum = ByteBudget.LARGE_MESSAGE_BYTES * 4 / 3;
    if (bytes < minimum || bytes > heapBytes / 3 * 2) {
      throw new CowslipException(
          ResultCode.BUDGET_DOES_NOT_FIT,
          "max-held in section [limits] is %d bytes; it must be from %d to two thirds of the heap"
                  .formatted(bytes, minimum)
              + " of %d bytes".formatted(heapBytes));
    }
    return bytes;
  }

  /** Starts to watch the limits. */
  public void start() {
    context.runOnContext(ignored -> vertx.setPeriodic(TICK_MILLIS, id -> tick(clock.millis())));
  }

  /** Returns the budget. */
  public ByteBudget budget() {
    return budget;
  }

  /** Returns the limits on connections. */
  public ClientLimits limits() {
    return limits;
  }

  /**
   * Admits a connection. If there are too many, the oldest one that has not done anything yet is
   * closed; if there is none, the new one is refused.
   *
   * @param port the port
   * @param closer closes the connection; called on any thread
   * @return the connection, or empty if it is refused
   */
  public Optional<ClientConnection> accept(Port port, Runnable closer) {
    ClientConnection connection = new ClientConnection(this, port, closer);
    ClientConnection replaced = null;
    synchronized (connections) {
      if (counts.getOrDefault(port, 0) >= port.maxConnections(limits)) {
        replaced = oldestUnopened(port);
        if (replaced == null) {
          count("refused", Reason.TOO_MANY_CONNECTIONS);
          return Optional.empty();
        }
        forget(replaced);
      }
      connections.add(connection);
      counts.merge(port, 1, Integer::sum);
    }
    if (replaced != null) {
      close(replaced, Reason.TOO_MANY_CONNECTIONS, replaced.tick(0));
    }
    return Optional.of(connection);
  }

  /**
   * Creates an empty claim.
   *
   * @param holder what the bytes are held for
   */
  public MemoryClaim newClaim(Holder holder) {
    return new MemoryClaim(this, holder);
  }

  /**
   * Waits until bytes fit into the budget.
   *
   * @param claim the claim that gets them
   * @param bytes the bytes to hold in all
   * @param large whether they belong to a large message
   * @param granted called on the current event loop when the claim holds them
   * @param refused called on the current event loop when they did not become available in time
   */
  public void await(
      MemoryClaim claim, long bytes, boolean large, Runnable granted, Runnable refused) {
    Context callerContext = vertx.getOrCreateContext();
    synchronized (waiters) {
      if (waiters.size() * WAITING_BYTES > budget.limit() / 2) {
        countRefusal();
        callerContext.runOnContext(ignored -> refused.run());
        return;
      }
      waiters.add(new Waiter(claim, bytes, large, callerContext, clock.millis(), granted, refused));
      waiting = true;
    }
    scheduleGrant();
  }

  /**
   * Releases bytes and grants them to waiting messages.
   *
   * @param holder what the bytes were held for
   * @param bytes the number of bytes
   */
  public void release(Holder holder, long bytes) {
    budget.add(holder, -bytes);
    if (waiting) {
      scheduleGrant();
    }
  }

  /** Returns whether more bytes are held than the budget allows. */
  public boolean isExhausted() {
    return budget.total() > budget.limit();
  }

  /** Counts a request that was refused because the budget is exhausted. */
  public void countRefusal() {
    count("refused", Reason.BUDGET_EXHAUSTED);
  }

  void remove(ClientConnection connection) {
    synchronized (connections) {
      forget(connection);
    }
  }

  private int connectionCount() {
    synchronized (connections) {
      return connections.size();
    }
  }

  private void forget(ClientConnection connection) {
    if (connections.remove(connection)) {
      counts.merge(connection.port(), -1, Integer::sum);
    }
  }

  private void scheduleGrant() {
    if (grantScheduled.compareAndSet(false, true)) {
      context.runOnContext(
          ignored -> {
            grantScheduled.set(false);
            grantWaiting();
          });
    }
  }

  private void grantWaiting() {
    synchronized (waiters) {
      boolean largeWaits = false;
      for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
        Waiter waiter = i.next();
        boolean inTurn = !(waiter.large() && largeWaits);
        if (waiter.claim().isEnded()) {
          i.remove();
        } else if (inTurn && waiter.claim().tryHold(waiter.bytes(), waiter.large())) {
          i.remove();
          waiter.context().runOnContext(ignored -> waiter.granted().run());
        } else {
          largeWaits |= waiter.large();
        }
      }
      waiting = !waiters.isEmpty();
    }
  }

  private void tick(long now) {
    long elapsedMillis = Math.min(now - lastTickMillis, MAX_COUNTED_MILLIS);
    lastTickMillis = now;
    List<ClientConnection> current;
    synchronized (connections) {
      current = List.copyOf(connections);
    }
    List<Use> uses = new ArrayList<>(current.size());
    for (ClientConnection connection : current) {
      Use use = connection.tick(elapsedMillis);
      uses.add(use);
      limits
          .overdue(use, connection.helloMillis(limits))
          .ifPresent(reason -> close(connection, reason, use));
    }
    if (refuseWaiting(now) || isExhausted()) {
      int victim = ClientLimits.victim(uses);
      if (victim >= 0) {
        close(current.get(victim), Reason.BUDGET_EXHAUSTED, uses.get(victim));
      }
    }
  }

  /** Refuses what has waited too long; returns whether anything has waited for some time. */
  private boolean refuseWaiting(long now) {
    boolean longWait = false;
    synchronized (waiters) {
      for (Iterator<Waiter> i = waiters.iterator(); i.hasNext(); ) {
        Waiter waiter = i.next();
        long waitedMillis = now - waiter.sinceMillis();
        longWait |= waitedMillis >= CLOSE_AFTER_WAIT_MILLIS;
        if (waitedMillis >= REFUSE_AFTER_MILLIS) {
          i.remove();
          countRefusal();
          waiter.context().runOnContext(ignored -> waiter.refused().run());
        }
      }
      waiting = !waiters.isEmpty();
    }
    return longWait;
  }

  private void close(ClientConnection connection, Reason reason, Use use) {
    count("closed", reason);
    log(connection, reason, use);
    connection.close();
  }

  private synchronized void log(ClientConnection connection, Reason reason, Use use) {
    long now = clock.millis();
    if (now < nextLogMillis) {
      unloggedCount++;
      return;
    }
    nextLogMillis = now + LOG_INTERVAL_MILLIS;
    DecisionLog.line(LogEvent.CLIENT_CLOSED)
        .with("port", connection.port())
        .with("reason", reason.label())
        .with("bytes", use.bytes())
        .with("age_ms", use.ageMillis())
        .with("read_ms", use.readMillis())
        .with("write_stall_ms", use.writeStallMillis())
        .with("held", budget.total())
        .with("limit", budget.limit())
        .with("unlogged", unloggedCount)
        .write();
    unloggedCount = 0;
  }

  private void count(String what, Reason reason) {
    Counter.builder("cowslipdale.clients." + what)
        .tag("reason", reason.label())
        .description("Clients or requests that were " + what + " by a limit")
        .register(meters)
        .increment();
  }

  private @Nullable ClientConnection oldestUnopened(Port port) {
    ClientConnection oldest = null;
    for (ClientConnection connection : connections) {
      boolean candidate = connection.port() == port && !connection.isOpened();
      if (candidate && (oldest == null || connection.ageMillis() > oldest.ageMillis())) {
        oldest = connection;
      }
    }
    return oldest;
  }
}
