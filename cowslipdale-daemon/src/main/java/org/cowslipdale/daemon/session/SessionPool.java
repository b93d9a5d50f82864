package org.cowslipdale.daemon.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.permit.PermitIssuer;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.connection.TicketFuture;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * The connections of this VM to one backend server that keep a state.
 *
 * <p>A request first gets a place in fair order; there are as many places as connections may be
 * open. It then takes the idle connection of its customer whose state needs the fewest commands, or
 * opens one, in the place of another customer's idle connection if necessary.
 */
final class SessionPool implements AutoCloseable {

  private static final long CONNECT_TIMEOUT_MILLIS = 500;

  private final ServerRef server;
  private final SessionConnector connector;
  private final VmClock clock;
  private final SlotQueue<TicketFuture> queue;
  private final Deque<PooledSession> idle = new ArrayDeque<>();
  private final ConnectionPermits permits;
  private volatile int share;
  private volatile int capacity;
  private boolean closed;

  SessionPool(
      ServerRef server,
      SessionConnector connector,
      VmClock clock,
      ConnectionPermits permits,
      int share,
      int capacity,
      int maxQueued) {
    this.server = server;
    this.connector = connector;
    this.clock = clock;
    this.permits = permits;
    this.share = share;
    this.capacity = capacity;
    this.queue = new SlotQueue<>(new QueuePolicy.Fair(), slots(share), maxQueued);
  }

  ServerRef server() {
    return server;
  }

  int outstanding() {
    return queue.outstanding();
  }

  void resize(int newShare, int newCapacity) {
    share = newShare;
    capacity = newCapacity;
    queue.resize(slots(newShare));
  }

  private static int slots(int share) {
    return share > 0 ? share : PermitIssuer.MAX_PERMITS_PER_VM;
  }

  /** Expires requests that waited too long. */
  void tick(long now) {
    TicketFuture.wake(queue.advance(now));
  }

  /**
   * Waits for a place and a connection.
   *
   * @param placeByMillis until when to wait for a place, on the VM's monotonic clock
   * @param deadlineMillis until when a connection must be open
   * @throws RefusalException if the deadline forbids it; nothing was sent
   * @throws BackendException if no connection can be opened; nothing was sent
   */
  Checkout acquire(
      String customer, Map<String, String> values, long placeByMillis, long deadlineMillis)
      throws RefusalException, BackendException {
    TicketFuture.awaitSlot(queue, customer, placeByMillis, clock.millis());
    long acquiredMillis = clock.millis();
    try {
      return new Checkout(takeOrConnect(customer, values, placeByMillis, deadlineMillis), acquiredMillis);
    } catch (BackendException | RefusalException e) {
      TicketFuture.wake(queue.release(0, clock.millis()));
      throw e;
    }
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
    }
    closeIdle();
  }

  /** What made one connection fall silent has probably met the idle ones too. */
  void closeIdle() {
    for (PooledSession session = pollIdle(); session != null; session = pollIdle()) {
      closeAndRecord(session);
    }
  }

  private synchronized @Nullable PooledSession pollIdle() {
    return idle.poll();
  }

  private PooledSession takeOrConnect(
      String customer, Map<String, String> values, long placeByMillis, long deadlineMillis)
      throws BackendException, RefusalException {
    PooledSession known = takeIdle(customer, values);
    if (known != null) {
      return known;
    }
    awaitPermit(placeByMillis);
    try {
      long timeout = Math.clamp(deadlineMillis - clock.millis(), 1, CONNECT_TIMEOUT_MILLIS);
      return new PooledSession(connector.connect(server, customer, timeout), customer);
    } catch (BackendException e) {
      permits.recordClosed(server.server());
      throw e;
    }
  }

  /** Takes a permit, that of another customer's idle connection if necessary. */
  private void awaitPermit(long untilMillis) throws RefusalException {
    while (!permits.tryUse(server.server(), share)) {
      PooledSession evicted = pollOldestIdle();
      if (evicted != null) {
        closeAndRecord(evicted);
      } else if (clock.millis() >= untilMillis) {
        throw new RefusalException(ResultCode.WAIT_LIMIT_REACHED);
      } else {
        permits.requestPermit(server.server(), capacity);
      }
    }
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

  /** The use of a connection by one statement or transaction. */
  final class Checkout implements AutoCloseable {

    private final PooledSession session;
    private final long acquiredMillis;
    private boolean clean;
    private boolean returned;

    private Checkout(PooledSession session, long acquiredMillis) {
      this.session = session;
      this.acquiredMillis = acquiredMillis;
    }

    PooledSession session() {
      return session;
    }

    /** States that the connection has no command outstanding and no transaction open. */
    void markClean() {
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
        TicketFuture.wake(queue.release((double) (now - acquiredMillis), now));
        return;
      }
      closeAndRecord(session);
      TicketFuture.wake(queue.release((double) (now - acquiredMillis), now));
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
