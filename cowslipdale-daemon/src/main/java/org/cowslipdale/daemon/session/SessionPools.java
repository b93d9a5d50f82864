package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.permit.ConnectionShare;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.routing.ServerLoad;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.VmClock;

/**
 * The connections of this VM to backend servers that keep a state, one pool for each server.
 *
 * <p>The connections that a server accepts are shared equally among the VMs that serve callers, or
 * borrowed where there are fewer than VMs.
 */
public final class SessionPools implements ServerLoad, AutoCloseable {

  private final SessionConnector connector;
  private final VmClock clock;
  private final int maxQueued;
  private final ConnectionPermits permits;
  private final ServerHealth health;
  private final ConcurrentMap<String, SessionPool> pools = new ConcurrentHashMap<>();

  /**
   * Creates the pools.
   *
   * @param connector opens connections
   * @param clock the clocks of the VM
   * @param maxQueued requests that wait for one server at a time
   * @param health the failures seen on each server
   * @param permits the connections that may be opened
   */
  public SessionPools(
      SessionConnector connector,
      VmClock clock,
      int maxQueued,
      ServerHealth health,
      ConnectionPermits permits) {
    this.connector = requireNonNull(connector, "connector");
    this.clock = requireNonNull(clock, "clock");
    this.maxQueued = maxQueued;
    this.health = requireNonNull(health, "health");
    this.permits = requireNonNull(permits, "permits");
  }

  SessionPool.Checkout acquire(
      BackendServer server,
      CurrentView current,
      String customer,
      Map<String, String> values,
      long placeByMillis,
      long deadlineMillis)
      throws RefusalException, BackendException {
    return pool(server, current).acquire(customer, values, placeByMillis, deadlineMillis);
  }

  /**
   * Closes the idle connections to a server.
   *
   * @param server the name of the server
   */
  public void closeIdle(String server) {
    SessionPool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /**
   * Expires requests that waited too long in any pool.
   *
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void tick(long now) {
    pools.values().forEach(pool -> pool.tick(now));
  }

  /**
   * Closes the pools of servers that are gone.
   *
   * @param known the names of the servers that are known
   */
  public void retain(Collection<String> known) {
    pools
        .entrySet()
        .removeIf(
            entry -> {
              boolean gone = !known.contains(entry.getKey()) && entry.getValue().outstanding() == 0;
              if (gone) {
                entry.getValue().close();
              }
              return gone;
            });
  }

  @Override
  public int outstanding(String server) {
    SessionPool pool = pools.get(server);
    return pool == null ? 0 : pool.outstanding();
  }

  @Override
  public boolean isEjected(String server, Collection<String> group, long now) {
    return health.isEjected(server, group, now);
  }

  @Override
  public void close() {
    pools.values().forEach(SessionPool::close);
  }

  private SessionPool pool(BackendServer server, CurrentView current) {
    ServerRef wanted = ServerRef.of(server.announcement());
    int limit = connectionLimit(server, current);
    int share = ConnectionShare.of(limit, current.callerVms());
    int capacity = ConnectionShare.capacity(limit);
    SessionPool known = pools.get(wanted.server());
    if (known != null && known.server().equals(wanted)) {
      known.resize(share, capacity);
      return known;
    }
    return pools.compute(
        wanted.server(),
        (name, pool) -> {
          if (pool != null && pool.server().equals(wanted)) {
            return pool;
          }
          if (pool != null) {
            pool.close();
          }
          return new SessionPool(wanted, connector, clock, permits, share, capacity, maxQueued);
        });
  }

  private static int connectionLimit(BackendServer server, CurrentView current) {
    var declared = current.view().configuration().databases().get(server.announcement().database());
    return declared == null || declared.connectionLimit() == 0
        ? server.announcement().connectionLimit()
        : declared.connectionLimit();
  }
}
