package org.cowslipdale.core.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The permits to open connections to servers that this VM holds.
 *
 * <p>A permit outlives the connection that was opened with it, until it is given back. This class
 * is safe for use by several threads.
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
   * Creates an account without permits.
   *
   * @param incarnation differs from that of any former process of the VM
   */
  public HeldPermits(long incarnation) {
    this.incarnation = incarnation;
  }

  /**
   * Uses a permit for a connection that is about to be opened.
   *
   * @param server the name of the server
   * @param share how many connections the VM may open without permits; once it was 0, permits are
   *     needed for good, so that the leader's account stays complete
   * @return whether there is one
   */
  public synchronized boolean tryUse(String server, int share) {
    if (count(inUse, server) >= allowedConnections(server, share)) {
      return false;
    }
    inUse.merge(server, 1, Integer::sum);
    return true;
  }

  /**
   * Tells whether there are more connections to a server than the VM may have now.
   *
   * @param server the name of the server
   * @param share how many connections the VM may open without permits
   */
  public synchronized boolean isExceeded(String server, int share) {
    return count(inUse, server) > allowedConnections(server, share);
  }

  /**
   * Tells whether connections to a server need permits.
   *
   * @param server the name of the server
   */
  public synchronized boolean isPermitRequired(String server) {
    return serversRequiringPermits.contains(server);
  }

  /** Tells whether all connections of the VM are covered by permits, so that it can state them. */
  public synchronized boolean hasPermitsForAllConnections() {
    return inUse.entrySet().stream()
        .allMatch(entry -> entry.getValue() == 0 || serversRequiringPermits.contains(entry.getKey()));
  }

  /** Returns the servers to which connections need permits. */
  public synchronized Set<String> serversRequiringPermits() {
    return Set.copyOf(serversRequiringPermits);
  }

  /** The connections that were opened without permits keep their places as permits. */
  private int allowedConnections(String server, int share) {
    if (share == 0 && serversRequiringPermits.add(server)) {
      held.merge(server, count(inUse, server), Math::max);
    }
    return serversRequiringPermits.contains(server) ? count(held, server) : share;
  }

  /**
   * Takes in that a connection is closed; its permit may be used again.
   *
   * @param server the name of the server
   */
  public synchronized void recordClosed(String server) {
    inUse.merge(server, -1, Integer::sum);
  }

  /**
   * Gives the permits of a server back that no connection uses; the next statement tells it.
   *
   * @param server the name of the server
   */
  public synchronized void releaseUnused(String server) {
    held.put(server, Math.min(count(held, server), count(inUse, server)));
  }

  /** Gives all permits back that no connection uses; the next statement tells it. */
  public synchronized void releaseAllUnused() {
    held.keySet().forEach(this::releaseUnused);
  }

  /**
   * Creates a request for a permit, which has to be settled.
   *
   * @param server the name of the server
   * @param capacity how many connections the VMs may have to the server together
   */
  public synchronized PermitDemand createDemand(String server, int capacity) {
    lastNumber++;
    unsettled.add(lastNumber);
    return new PermitDemand(incarnation, lastNumber, server, capacity);
  }

  /**
   * Settles a request.
   *
   * @param ask the request
   * @param lent whether the answer granted it; false if no answer came in time
   */
  public synchronized void settle(PermitDemand ask, boolean lent) {
    if (unsettled.remove(ask.number()) && lent) {
      held.merge(ask.server(), 1, Integer::sum);
    }
  }

  /**
   * Returns what the control leader should know. What another leader lends from now on is ignored.
   *
   * @param to the name of the leader
   */
  public synchronized PermitReport createReport(String to) {
    if (!leader.equals(to)) {
      leader = to;
      unsettled.clear();
    }
    long settled = unsettled.isEmpty() ? lastNumber : unsettled.first() - 1;
    Map<String, Integer> stated = new HashMap<>(held);
    stated.values().removeIf(count -> count == 0);
    return new PermitReport(incarnation, settled, stated);
  }

  private static int count(Map<String, Integer> counts, String server) {
    return counts.getOrDefault(server, 0);
  }
}
