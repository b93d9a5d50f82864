package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerHealth;
import org.cowslipdale.core.permit.ConnectionShare;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.connection.ServerRef;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.VmClock;

/**
 * The pools of connections with session state, one for each backend server.
 *
 * <p>The connections that a server accepts are shared equally among the VMs that serve callers. If
 * there are fewer connections than VMs, each connection requires a permit.
 */
public final class SessionPools implements ConnectionSource, AutoCloseable {

  private final SessionConnector connector;
  private final VmClock clock;
  private final QueuePolicy policy;
  private final int maxQueued;
  private final ConnectionPermits permits;
  private final ServerHealth health;
  private final ConnectionUsage usage = new ConnectionUsage();
  private final ConcurrentMap<String, SessionPool> pools = new ConcurrentHashMap<>();

  /**
   * Creates pools with fair queues.
   *
   * @param connector the connector that opens connections
   * @param clock the VM's clock
   * @param maxQueued the maximum number of requests that wait for one server
   * @param health the failures recorded for each server
   * @param permits the limit of the connections that this VM may open
   */
  public SessionPools(
      SessionConnector connector,
      VmClock clock,
      int maxQueued,
      ServerHealth health,
      ConnectionPermits permits) {
    this(connector, clock, new QueuePolicy.Fair(), maxQueued, health, permits);
  }

  /**
   * Creates the pools.
   *
   * @param connector the connector that opens connections
   * @param clock the VM's clock
   * @param policy the order in which requests get slots
   * @param maxQueued the maximum number of requests that wait for one server
   * @param health the failures recorded for each server
   * @param permits the limit of the connections that this VM may open
   */
  public SessionPools(
      SessionConnector connector,
      VmClock clock,
      QueuePolicy policy,
      int maxQueued,
      ServerHealth health,
      ConnectionPermits permits) {
    this.connector = requireNonNull(connector, "connector");
    this.clock = requireNonNull(clock, "clock");
    this.policy = requireNonNull(policy, "policy");
    this.maxQueued = maxQueued;
    this.health = requireNonNull(health, "health");
    this.permits = requireNonNull(permits, "permits");
  }

  /** Returns the counters of opened connections and of statements that ran on them. */
  public ConnectionUsage usage() {
    return usage;
  }

  @Override
  public Checkout acquire(ConnectionDemand demand) throws RefusalException, BackendException {
    return pool(demand.server(), demand.current())
        .acquire(
            demand.profile(),
            demand.values(),
            demand.slotDeadlineMillis(),
            demand.deadlineMillis(),
            demand.waits());
  }

  @Override
  public void closeIdle(String server) {
    SessionPool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /**
   * Expires queued requests of all pools whose deadline has passed.
   *
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void tick(long now) {
    pools.values().forEach(pool -> pool.tick(now));
  }

  /**
   * Closes the pools of unknown servers that have no requests outstanding.
   *
   * @param knownServers the names of the known servers
   */
  public void retain(Collection<String> knownServers) {
    pools
        .entrySet()
        .removeIf(
            entry -> {
              boolean removable =
                  !knownServers.contains(entry.getKey()) && entry.getValue().outstanding() == 0;
              if (removable) {
                entry.getValue().close();
              }
              return removable;
            });
  }

  @Override
  public int outstanding(String server) {
    SessionPool pool = pools.get(server);
    return pool == null ? 0 : pool.outstanding();
  }

  @Override
  public boolean hasIdleConnection(String server, String customer) {
    SessionPool pool = pools.get(server);
    return pool != null && pool.hasIdle(customer);
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
    ServerRef required = ServerRef.of(server.announcement());
    int limit = connectionLimit(server, current);
    int share = share(server, current);
    int capacity = ConnectionShare.capacity(limit);
    SessionPool existing = pools.get(required.server());
    if (existing != null && existing.server().equals(required)) {
      existing.resize(share, capacity);
      return existing;
    }
    return pools.compute(
        required.server(),
        (name, pool) -> {
          if (pool != null && pool.server().equals(required)) {
            return pool;
          }
          if (pool != null) {
            pool.close();
          }
          return new SessionPool(
              required, connector, clock, permits, usage, share, capacity, policy, maxQueued);
        });
  }

  /** Returns the number of connections to a server that this VM may open without permits. */
  static int share(BackendServer server, CurrentView current) {
    return ConnectionShare.of(connectionLimit(server, current), current.callerVms());
  }

  private static int connectionLimit(BackendServer server, CurrentView current) {
    var declared = current.view().configuration().databases().get(server.announcement().database());
    return declared == null || declared.connectionLimit() == 0
        ? server.announcement().connectionLimit()
        : declared.connectionLimit();
  }
}
