package org.cowslipdale.core.failover;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.SequencedMap;
import org.cowslipdale.core.backend.BackendServer;

/**
 * The servers of a group that were announced recently. A server that has become silent is retained
 * for a time, since it may hold commits that no other server has.
 *
 * <p>This class is confined to one thread.
 */
final class RecentServers {

  /** Bounds the memory that announcements of ever new names can occupy. */
  private static final int MAX_SERVERS = 64;

  private final long retentionMillis;

  /** By name, the server that was silent for the longest time first. */
  private final SequencedMap<String, Sighting> sightings = new LinkedHashMap<>();

  private record Sighting(String address, long announcedAtMillis) {}

  /**
   * Creates an empty set.
   *
   * @param retentionMillis how long a server is retained after its latest announcement, in
   *     milliseconds
   */
  RecentServers(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /**
   * Adds the announced servers, and removes those that were silent for too long or whose address
   * another server of the group has taken over, together with their log.
   *
   * @param announced the announced servers of the group
   * @param now the current time, on the clock of the announcements, in milliseconds
   */
  void update(Collection<BackendServer> announced, long now) {
    for (BackendServer server : announced) {
      String address = server.announcement().address();
      sightings
          .entrySet()
          .removeIf(
              known ->
                  known.getValue().address().equals(address)
                      && !known.getKey().equals(server.name()));
      sightings.remove(server.name());
      sightings.put(server.name(), new Sighting(address, server.announcedAtMillis()));
    }
    while (sightings.size() > MAX_SERVERS) {
      sightings.pollFirstEntry();
    }
    sightings.values().removeIf(known -> now - known.announcedAtMillis() >= retentionMillis);
  }

  /** Returns the number of servers. */
  int count() {
    return sightings.size();
  }
}
