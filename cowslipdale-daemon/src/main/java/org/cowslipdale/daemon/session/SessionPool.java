package org.cowslipdale.daemon.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.admission.RequestProfile;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.permit.PermitIssuer;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.connection.TicketFuture;
import org.cowslipdale.daemon.session.ConnectionPermits.PermitResult;
import org.cowslipdale.daemon.session.StatementWaits.Cause;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * The pool of this VM's connections with session state to one backend server.
 *
 * <p>A request first waits for a slot, in the order of the queue policy. There are as many slots as
 * the VM may open connections without permits, or {@link PermitIssuer#MAX_PERMITS_PER_VM} if all of
 * them require permits. The request then uses the idle connection of its customer that needs the
 * fewest commands to get the session's values. If there is none, it opens a connection, and closes
 * an idle one first if the limit is reached.
 */
final class SessionPool implements AutoCloseable {

  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  private final ServerRef server;
  private final SessionConnector connector;
  private final VmClock clock;
  private final SlotQueue<TicketFuture> queue;
  private final Deque<PooledSession> idle = new ArrayDeque<>();
  private final ConnectionPermits permits;
  private final ConnectionUsage usage;
  private final QueuePolicy policy;
  private volatile int share;
  private volatile int capacity;
  private boolean closed;

  SessionPool(
      ServerRef server,
      SessionConnector connector,
      VmClock clock,
      ConnectionPermits permits,
      ConnectionUsage usage,
      int share,
      int capacity,
      QueuePolicy policy,
      int maxQueued) {
    this.server = server;
    this.connector = connector;
    this.clock = clock;
    this.permits = permits;
    this.usage = usage;
    this.policy = policy;
    this.share = share;
    this.capacity = capacity;
    this.queue = new SlotQueue<>(policy, slots(share), maxQueued);
  }

  ServerRef server() {
    return server;
  }

  int outstanding() {
    return queue.outstanding();
  }

  /** Returns whether a connection of a customer is idle. */
  synchronized boolean hasIdle(String customer) {
    return idle.stream().anyMatch(session -> session.customer().equals(customer));
  }

  void resize(int newShare, int newCapacity) {
    share = newShare;
    capacity = newCapacity;
    queue.resize(slots(newShare));
  }

  private static int slots(int share) {
    return share > 0 ? share : PermitIssuer.MAX_PERMITS_PER_VM;
  }

  /** Expires queued requests whose deadline has passed. */
  void tick(long now) {
    TicketFuture.wake(queue.advance(now));
  }

  /**
   * Waits for a slot and a connection.
   *
   * @param slotDeadlineMillis the time on the VM's monotonic clock until which to wait for a slot
   *     and a permit
   * @param deadlineMillis the time on the VM's monotonic clock by which a connection must be open
   * @param waits records the time spent waiting
   * @throws RefusalException if there is no slot or permit in time, or the queue is full; nothing
   *     was sent
   * @throws BackendException if no connection can be opened; nothing was sent
   */
  Checkout acquire(
      RequestProfile profile,
      Map<String, String> values,
      long slotDeadlineMillis,
      long deadlineMillis,
      StatementWaits waits)
      throws RefusalException, BackendException {
    long requestedMillis = clock.millis();
    try {
      TicketFuture.awaitSlot(queue, profile, slotDeadlineMillis, requestedMillis);
    } finally {
      waits.add(Cause.SLOT, clock.millis() - requestedMillis);
    }
    long acquiredMillis = clock.millis();
    PooledSession session = null;
    try {
      session = takeOrConnect(profile, values, slotDeadlineMillis, deadlineMillis, waits);
    } finally {
      if (session == null) {
        TicketFuture.wake(queue.releaseUnused(profile, clock.millis()));
      }
    }
    return new PooledCheckout(session, profile, acquiredMillis);
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
    }
    closeIdle();
  }

  /**
   * Closes the idle connections, for example after another connection to the server failed: the
   * cause has probably affected them too.
   */
  void closeIdle() {
    for (PooledSession session = pollIdle(); session != null; session = pollIdle()) {
      closeAndRecord(session);
    }
  }

  private synchronized @Nullable PooledSession pollIdle() {
    return idle.poll();
  }

  private PooledSession takeOrConnect(
      RequestProfile profile,
      Map<String, String> values,
      long slotDeadlineMillis,
      long deadlineMillis,
      StatementWaits waits)
      throws BackendException, RefusalException {
    String customer = profile.customer();
    PooledSession reusable = takeIdle(customer, values);
    if (reusable != null) {
      return reusable;
    }
    awaitPermit(profile.priority(), slotDeadlineMillis, waits);
    long startMillis = clock.millis();
    ServerConnection connection = null;
    try {
      long timeout = Math.clamp(deadlineMillis - clock.millis(), 1, CONNECT_TIMEOUT_MILLIS);
      connection = connector.connect(server, customer, timeout);
    } finally {
      waits.add(Cause.CONNECTION, clock.millis() - startMillis);
      if (connection == null) {
        permits.recordClosed(server.server());
      }
    }
    usage.recordOpened();
    return new PooledSession(connection, customer);
  }

  /**
   * Waits until a connection may be opened, and closes the least recently used idle connection to
   * make room if there is one.
   */
  private void awaitPermit(int priority, long untilMillis, StatementWaits waits)
      throws RefusalException {
    while (!permits.tryUse(server.server(), share)) {
      PooledSession evicted = pollOldestIdle();
      if (evicted != null) {
        closeAndRecord(evicted);
      } else if (clock.millis() >= untilMillis) {
        throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
      } else {
        requestPermit(priority, waits);
      }
    }
  }

  private void requestPermit(int priority, StatementWaits waits) {
    long startMillis = clock.millis();
    PermitResult result =
        policy instanceof QueuePolicy.Priority
            ? permits.requestPermit(server.server(), capacity, priority)
            : permits.requestPermit(server.server(), capacity);
    waits.add(
        result == PermitResult.UNANSWERED ? Cause.PERMIT_ANSWER : Cause.PERMIT,
        clock.millis() - startMillis);
  }

  private synchronized @Nullable PooledSession takeIdle(
      String customer, Map<String, String> values) {
    PooledSession best = null;
    for (Iterator<PooledSession> each = idle.iterator(); each.hasNext(); ) {
      PooledSession session = each.next();
      if (!session.isUsable()) {
        each.remove();
        closeAndRecord(session);
      } else if (session.customer().equals(customer)
          && (best == null || session.countCommandsFor(values) < best.countCommandsFor(values))) {
        best = session;
      }
    }
    if (best != null) {
      idle.remove(best);
    }
    return best;
  }

  private synchronized @Nullable PooledSession pollOldestIdle() {
    return idle.pollLast();
  }

  private void closeAndRecord(PooledSession session) {
    session.close();
    permits.recordClosed(server.server());
  }

  /** A use of a connection of this pool. */
  private final class PooledCheckout implements Checkout {

    private final PooledSession session;
    private final RequestProfile profile;
    private final long acquiredMillis;
    private boolean clean;
    private boolean returned;

    PooledCheckout(PooledSession session, RequestProfile profile, long acquiredMillis) {
      this.session = session;
      this.profile = profile;
      this.acquiredMillis = acquiredMillis;
    }

    @Override
    public void applyValues(Map<String, String> values, long timeoutMillis)
        throws BackendException {
      session.applyValues(values, timeoutMillis);
    }

    @Override
    public void prepare(PreparedStatement prepared, long timeoutMillis) throws BackendException {
      session.prepare(prepared, timeoutMillis);
    }

    @Override
    public void assign(String name, String value, long timeoutMillis) throws BackendException {
      session.assign(name, value, timeoutMillis);
    }

    @Override
    public ServerReply execute(
        Statement statement,
        @Nullable PreparedStatement prepared,
        @Nullable LogPosition after,
        long timeoutMillis)
        throws BackendException {
      usage.recordStatement();
      if (statement instanceof Statement.Execute execute && prepared != null) {
        ServerReply reply = session.execute(execute, prepared, after, timeoutMillis);
        if (reply.failure() == ServerFailure.NOT_PREPARED) {
          session.clearPrepared();
        }
        return reply;
      }
      return session.execute(statement, after, timeoutMillis);
    }

    @Override
    public void markClean() {
      clean = true;
    }

    @Override
    public void close() {
      if (returned) {
        return;
      }
      returned = true;
      long now = clock.millis();
      if (clean && session.isUsable() && returnToPool()) {
        TicketFuture.wake(queue.releaseConnection(profile, (double) (now - acquiredMillis), now));
        return;
      }
      closeAndRecord(session);
      TicketFuture.wake(queue.release(profile, (double) (now - acquiredMillis), now));
    }

    private boolean returnToPool() {
      synchronized (SessionPool.this) {
        if (closed || permits.mustClose(server.server(), share)) {
          return false;
        }
        idle.push(session);
        return true;
      }
    }
  }
}
