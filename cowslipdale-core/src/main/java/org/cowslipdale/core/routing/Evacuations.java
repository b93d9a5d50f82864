package org.cowslipdale.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.backend.BackendGroup;
import org.cowslipdale.core.backend.BackendServer;

/**
 * The evacuated failure domains that a VM knows of.
 *
 * <p>A server of an evacuated failure domain gets no new work. A primary there still gets the work
 * that only it can run for a short time, in which its successor is promoted. Immutable.
 *
 * @param primaryWorkUntilMillis for each evacuated failure domain, when a primary there gets no
 *     more work, on the VM's monotonic clock
 */
public record Evacuations(Map<String, Long> primaryWorkUntilMillis) {

  /** No failure domain is evacuated. */
  public static final Evacuations NONE = new Evacuations(Map.of());

  /**
   * How long a primary of an evacuated failure domain gets work after the VM's view learned of the
   * evacuation.
   */
  public static final long PRIMARY_GRACE_MILLIS = 3_500;

  /**
   * How long a primary of an evacuated failure domain gets work at most after the time at which the
   * VM's view without the evacuation was known to be current. An evacuation must be effective
   * within 5,000 ms of its acknowledgement; the remaining 500 ms are for transit (250 ms) and clock
   * drift.
   */
  public static final long MAX_MILLIS_AFTER_CONFIRMED_VIEW = 4_500;

  /** Copies the map. */
  public Evacuations {
    primaryWorkUntilMillis = Map.copyOf(primaryWorkUntilMillis);
  }

  /**
   * Returns the evacuations after an update of the view.
   *
   * @param failureDomains the evacuated failure domains of the updated view
   * @param confirmedMillis a time at which the previous view was known to be current, on the VM's
   *     monotonic clock, or {@link Long#MIN_VALUE} if there was no previous view
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public Evacuations update(Set<String> failureDomains, long confirmedMillis, long now) {
    if (failureDomains.equals(primaryWorkUntilMillis.keySet())) {
      return this;
    }
    long until =
        confirmedMillis == Long.MIN_VALUE
            ? Long.MIN_VALUE
            : Math.min(
                now + PRIMARY_GRACE_MILLIS, confirmedMillis + MAX_MILLIS_AFTER_CONFIRMED_VIEW);
    Map<String, Long> next = new HashMap<>();
    for (String failureDomain : failureDomains) {
      next.put(failureDomain, primaryWorkUntilMillis.getOrDefault(failureDomain, until));
    }
    return new Evacuations(next);
  }

  /**
   * Returns whether a server may get work.
   *
   * @param server the server
   * @param asPrimary whether the server is the primary and no other server can run the work
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public boolean permits(BackendServer server, boolean asPrimary, long now) {
    Long until = primaryWorkUntilMillis.get(server.announcement().failureDomain());
    return until == null || (asPrimary && now < until);
  }

  /**
   * Returns whether a group has servers, and each of them is evacuated or leaving, at least one of
   * them evacuated.
   *
   * @param group the known servers of a database
   */
  public boolean coverAllServers(BackendGroup group) {
    if (primaryWorkUntilMillis.isEmpty()) {
      return false;
    }
    boolean anyEvacuated = false;
    for (BackendServer server : group.servers().values()) {
      boolean evacuated = primaryWorkUntilMillis.containsKey(server.announcement().failureDomain());
      if (!evacuated && !server.announcement().leaving()) {
        return false;
      }
      anyEvacuated |= evacuated;
    }
    return anyEvacuated;
  }
}
