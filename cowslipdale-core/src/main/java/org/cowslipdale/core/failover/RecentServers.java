package org.cowslipdale.core.failover;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.SequencedMap;
import org.cowslipdale.core.backend.Announcement;
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

  private record Sighting(String address, boolean leaving, long announcedAtMillis) {

    boolean isSucceededBy(BackendServer server) {
      return leaving && address.equals(server.announcement().address());
    }
  }

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
   * Adds the announced servers, and removes those that were silent for too long, and those that
   * left and whose address another server has taken over: their log was transferred to it.
   *
   * @param announced the announced servers of the group
   * @param now the current time, on the clock of the announcements, in milliseconds
   */
  void update(Collection<BackendServer> announced, long now) {
    for (BackendServer server : announced) {
      Announcement announcement = server.announcement();
      sightings.remove(server.name());
      sightings.values().removeIf(known -> known.isSucceededBy(server));
      sightings.put(
          server.name(),
          new Sighting(announcement.address(), announcement.leaving(), server.announcedAtMillis()));
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
