package org.cowslipdale.core.failover;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.cowslipdale.core.backend.BackendServer;
import org.jspecify.annotations.Nullable;

/**
 * Which servers of a group are promoted first while failure domains are evacuated. Without an
 * evacuation it makes no difference between servers.
 *
 * @param evacuatedDomains the evacuated failure domains
 * @param region the region of the replaced primary, or null if it is not known
 */
record PromotionPreference(Set<String> evacuatedDomains, @Nullable String region) {

  /** Returns whether the server is in an evacuated failure domain. */
  boolean isEvacuated(BackendServer server) {
    return evacuatedDomains.contains(server.announcement().failureDomain());
  }

  /**
   * Returns the order of servers with equal positions: first those in the region of the replaced
   * primary, which is nearest to the callers of the old one.
   */
  Comparator<BackendServer> tieBreak() {
    boolean byRegion = !evacuatedDomains.isEmpty() && region != null;
    return Comparator.comparing(
        server -> byRegion && !server.announcement().region().equals(region));
  }

  /**
   * Returns the servers outside the evacuated failure domains, or all servers if there are fewer
   * than required outside.
   *
   * @param servers the servers
   * @param required how many servers must remain, so that one of them has every acknowledged write
   */
  List<BackendServer> withoutEvacuated(List<BackendServer> servers, int required) {
    List<BackendServer> elsewhere =
        servers.stream().filter(server -> !isEvacuated(server)).toList();
    return elsewhere.size() >= required ? elsewhere : servers;
  }
}
