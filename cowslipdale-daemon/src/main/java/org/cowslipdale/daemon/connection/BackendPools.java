package org.cowslipdale.daemon.connection;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.routing.ServerLoad;
import org.cowslipdale.daemon.connection.BackendPool.PooledConnection;
import org.cowslipdale.daemon.version.VmClock;

/**
 * The pools of this VM's connections, one for each backend server.
 *
 * <p>The connections that a server accepts are shared equally among the active VMs.
 */
public final class BackendPools implements ServerLoad, AutoCloseable {

  private final DatabaseConnector connector;
  private final VmClock clock;
  private final QueuePolicy policy;
  private final int maxQueued;
  private final ServerHealth health;
  private final ConcurrentMap<String, BackendPool> pools = new ConcurrentHashMap<>();

  /**
   * Creates the pools.
   *
   * @param connector the connector that opens connections
   * @param clock the VM's clock
   * @param policy the order in which queued requests get slots
   * @param maxQueued the maximum number of requests that wait for one server
   * @param health the failures recorded for each server
   */
  public BackendPools(
      DatabaseConnector connector,
      VmClock clock,
      QueuePolicy policy,
      int maxQueued,
      ServerHealth health) {
    this.connector = requireNonNull(connector, "connector");
    this.clock = requireNonNull(clock, "clock");
    this.policy = requireNonNull(policy, "policy");
    this.maxQueued = maxQueued;
    this.health = requireNonNull(health, "health");
  }

  /**
   * Waits for a slot and a connection.
   *
   * @param server the backend server
   * @param activeVms the number of VMs that share the server's connections
   * @param customer the customer on whose behalf the connection is used
   * @param deadlineMillis the time on the VM's monotonic clock until which to wait for a slot
   * @throws RefusalException if there is no slot in time, or the queue is full; nothing was sent
   * @throws BackendException if no connection can be opened; nothing was sent
   */
  public PooledConnection acquire(
      BackendServer server, int activeVms, String customer, long deadlineMillis)
      throws RefusalException, BackendException {
    return pool(server.announcement(), activeVms).acquire(customer, deadlineMillis);
  }

  /**
   * Expires queued requests of all pools whose deadline has passed.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void tick(long now) {
    pools.values().forEach(pool -> pool.tick(now));
  }

  @Override
  public int outstanding(String server) {
    BackendPool pool = pools.get(server);
    return pool == null ? 0 : pool.outstanding();
  }

  /** Returns true, because any customer may use any connection. */
  @Override
  public boolean hasIdleConnection(String server, String customer) {
    return true;
  }

  @Override
  public boolean isEjected(String server, Collection<String> group, long now) {
    return health.isEjected(server, group, now);
  }

  @Override
  public void close() {
    pools.values().forEach(BackendPool::close);
  }

  private BackendPool pool(Announcement server, int activeVms) {
    int slots = Math.max(1, server.connectionLimit() / Math.max(1, activeVms));
    BackendPool existing = pools.get(server.server());
    if (existing != null && existing.address().equals(server.address())) {
      existing.resize(slots);
      return existing;
    }
    return pools.compute(
        server.server(),
        (name, pool) ->
            pool != null && pool.address().equals(server.address())
                ? pool
                : new BackendPool(server.address(), connector, clock, policy, slots, maxQueued));
  }
}
