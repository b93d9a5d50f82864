package org.cowslipdale.core.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the permits of this VM to open connections to servers.
 *
 * <p>A permit outlives the connection that was opened with it, until it is released. This class is
 * safe for use by several threads.
 */
public final class HeldPermits {

  private final long incarnation;
  private final Map<String, Integer> held = new HashMap<>();
  private final Map<String, Integer> inUse = new HashMap<>();
  private final Set<String> serversRequiringPermits = new HashSet<>();
  private final TreeSet<Long> unsettled = new TreeSet<>();
  private long lastNumber;
  private String leader = "";

  /**
   * Creates an instance without permits.
   *
   * @param incarnation a number that differs from that of any previous process of the VM
   */
  public HeldPermits(long incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Reserves the place of a connection that is about to be opened.
   *
   * @param server the name of the server
   * @param share the number of connections that the VM may open without permits; once it was 0,
   *     permits stay required, so that the leader's count stays complete
   * @return whether the VM may open the connection
   */
  public synchronized boolean tryUse(String server, int share) {
    if (count(inUse, server) >= allowedConnections(server, share)) {
      return false;
    }
    inUse.merge(server, 1, Integer::sum);
    return true;
  }

  /**
   * Returns whether the VM has more connections to a server than it currently may.
   *
   * @param server the name of the server
   * @param share the number of connections that the VM may open without permits
   */
  public synchronized boolean isExceeded(String server, int share) {
    return count(inUse, server) > allowedConnections(server, share);
  }

  /**
   * Returns whether connections to a server require permits.
   *
   * @param server the name of the server
   */
  public synchronized boolean isPermitRequired(String server) {
    return serversRequiringPermits.contains(server);
  }

  /** Returns whether permits cover all connections of the VM, so that a report is complete. */
  public synchronized boolean hasPermitsForAllConnections() {
    return inUse.entrySet().stream()
        .allMatch(
            entry -> entry.getValue() == 0 || serversRequiringPermits.contains(entry.getKey()));
  }

  /** Returns the servers whose connections require permits. */
  public synchronized Set<String> serversRequiringPermits() {
    return Set.copyOf(serversRequiringPermits);
  }

  /** Counts connections that were opened before permits were required as covered by permits. */
  private int allowedConnections(String server, int share) {
    if (share == 0 && serversRequiringPermits.add(server)) {
      held.merge(server, count(inUse, server), Math::max);
    }
    return serversRequiringPermits.contains(server) ? count(held, server) : share;
  }

  /**
   * Records that a connection was closed; its permit may be used again.
   *
   * @param server the name of the server
   */
  public synchronized void recordClosed(String server) {
    inUse.merge(server, -1, Integer::sum);
  }

  /**
   * Releases the permits of a server that no connection uses. The next report leaves them out.
   *
   * @param server the name of the server
   * @return whether any were released
   */
  public synchronized boolean releaseUnused(String server) {
    int used = Math.min(count(held, server), count(inUse, server));
    boolean released = used < count(held, server);
    held.put(server, used);
    return released;
  }

  /** Releases all permits that no connection uses. The next report leaves them out. */
  public synchronized void releaseAllUnused() {
    held.keySet().forEach(this::releaseUnused);
  }

  /**
   * Creates a demand for a permit. The caller must settle it with {@link #settle}.
   *
   * @param server the name of the server
   * @param capacity the number of connections that all VMs together may have to the server
   */
  public PermitDemand createDemand(String server, int capacity) {
    return createDemand(server, capacity, null);
  }

  /**
   * Creates a demand for a permit. The caller must settle it with {@link #settle}.
   *
   * @param server the name of the server
   * @param capacity the number of connections that all VMs together may have to the server
   * @param priority the priority of the request that waits for the connection, or null if the VM
   *     does not order by priority
   */
  public synchronized PermitDemand createDemand(
      String server, int capacity, @Nullable Integer priority) {
    lastNumber++;
    unsettled.add(lastNumber);
    return new PermitDemand(incarnation, lastNumber, server, capacity, priority);
  }

  /**
   * Records the outcome of a demand.
   *
   * @param demand the demand
   * @param granted whether it was granted; false if no answer arrived in time
   */
  public synchronized void settle(PermitDemand demand, boolean granted) {
    if (unsettled.remove(demand.number()) && granted) {
      held.merge(demand.server(), 1, Integer::sum);
    }
  }

  /**
   * Creates a report for the control leader. If the leader changed, pending demands are abandoned,
   * and a later grant by the previous leader is ignored.
   *
   * @param controlLeader the name of the control leader
   */
  public synchronized PermitReport createReport(String controlLeader) {
    if (!leader.equals(controlLeader)) {
      leader = controlLeader;
      unsettled.clear();
    }
    long settled = unsettled.isEmpty() ? lastNumber : unsettled.first() - 1;
    Map<String, Integer> reported = new HashMap<>(held);
    reported.values().removeIf(count -> count == 0);
    return new PermitReport(incarnation, settled, reported);
  }

  private static int count(Map<String, Integer> counts, String server) {
    return counts.getOrDefault(server, 0);
  }
}
