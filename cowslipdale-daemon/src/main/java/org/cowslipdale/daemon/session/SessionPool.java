package org.cowslipdale.daemon.session;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Map;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.admission.SlotQueue;
import org.cowslipdale.core.result.RefusalException;
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
  private int limit;
  private int open;
  private boolean closed;

  SessionPool(
      ServerRef server, SessionConnector connector, VmClock clock, int limit, int maxQueued) {
    this.server = server;
    this.connector = connector;
    this.clock = clock;
    this.limit = limit;
    this.queue = new SlotQueue<>(new QueuePolicy.Fair(), limit, maxQueued);
  }

  ServerRef server() {
    return server;
  }

  int outstanding() {
    return queue.outstanding();
  }

  void resize(int connections) {
    synchronized (this) {
      limit = connections;
    }
    queue.resize(connections);
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
  Lease acquire(
      String customer, Map<String, String> values, long placeByMillis, long deadlineMillis)
      throws RefusalException, BackendException {
    TicketFuture.awaitSlot(queue, customer, placeByMillis, clock.millis());
    long acquiredMillis = clock.millis();
    try {
      return new Lease(connection(customer, values, deadlineMillis), acquiredMillis);
    } catch (BackendException e) {
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
      closeCounted(session);
    }
  }

  private synchronized @Nullable PooledSession pollIdle() {
    return idle.poll();
  }

  private PooledSession connection(String customer, Map<String, String> values, long deadlineMillis)
      throws BackendException {
    PooledSession known = takeIdle(customer, values);
    if (known != null) {
      return known;
    }
    PooledSession evicted = reserve();
    if (evicted != null) {
      evicted.close();
    }
    try {
      long timeout = Math.clamp(deadlineMillis - clock.millis(), 1, CONNECT_TIMEOUT_MILLIS);
      return new PooledSession(connector.connect(server, customer, timeout), customer);
    } catch (BackendException e) {
      synchronized (this) {
        open--;
      }
      throw e;
    }
  }

  private synchronized @Nullable PooledSession takeIdle(
      String customer, Map<String, String> values) {
    PooledSession best = null;
    for (Iterator<PooledSession> each = idle.iterator(); each.hasNext(); ) {
      PooledSession session = each.next();
      if (!session.isUsable()) {
        each.remove();
        open--;
        session.close();
      } else if (session.customer().equals(customer)
          && (best == null || session.distance(values) < best.distance(values))) {
        best = session;
      }
    }
    if (best != null) {
      idle.remove(best);
    }
    return best;
  }

  /** Counts a new connection, and returns the idle one that makes room for it, if any. */
  private synchronized @Nullable PooledSession reserve() {
    PooledSession evicted = open >= limit ? idle.pollLast() : null;
    if (evicted == null) {
      open++;
    }
    return evicted;
  }

  private void closeCounted(PooledSession session) {
    synchronized (this) {
      open--;
    }
    session.close();
  }

  /** The use of a connection by one statement or transaction. */
  final class Lease implements AutoCloseable {

    private final PooledSession session;
    private final long acquiredMillis;
    private boolean clean;
    private boolean returned;

    private Lease(PooledSession session, long acquiredMillis) {
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
      if (clean && session.isUsable() && giveBack()) {
        TicketFuture.wake(queue.release((double) (now - acquiredMillis), now));
        return;
      }
      closeCounted(session);
      TicketFuture.wake(queue.release((double) (now - acquiredMillis), now));
    }

    private boolean giveBack() {
      synchronized (SessionPool.this) {
        if (closed || open > limit) {
          return false;
        }
        idle.push(session);
        return true;
      }
    }
  }
}
