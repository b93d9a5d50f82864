package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link RecentServers}. */
class RecentServersTests {

  private static final long RETENTION_MILLIS = 60_000;

  private final RecentServers servers = new RecentServers(RETENTION_MILLIS);

  @ParameterizedTest
  @CsvSource({"0, 2", "59999, 2", "60000, 1"})
  void retainsSilentServerForLimitedTime(long silentMillis, int count) {
    servers.update(List.of(server("bonds-1", "a1", 0)), 0);
    servers.update(List.of(server("bonds-2", "a2", silentMillis)), silentMillis);

    assertThat(servers.count(), is(count));
  }

  /** The log of a server that leaves is transferred to its successor; that of others may not be. */
  @ParameterizedTest
  @CsvSource({"true, a1, 1", "true, a2, 2", "false, a1, 2"})
  void successorReplacesServerThatLeft(boolean leaving, String address, int count) {
    servers.update(List.of(server("bonds-1", "a1", leaving, 0)), 0);
    servers.update(List.of(server("bonds-2", address, false, 10)), 10);

    assertThat(servers.count(), is(count));
  }

  /** Guards against a control VM that runs out of memory by announcements of ever new names. */
  @Test
  void boundsNumberOfServers() {
    for (int i = 0; i < 1_000; i++) {
      servers.update(List.of(server("bonds-" + i, "a" + i, i)), i);
    }

    assertThat(servers.count(), is(64));
  }

  private static BackendServer server(String name, String address, long announcedAtMillis) {
    return server(name, address, false, announcedAtMillis);
  }

  private static BackendServer server(
      String name, String address, boolean leaving, long announcedAtMillis) {
    Announcement announcement =
        new Announcement(
            "bonds",
            name,
            address,
            "praha-a",
            "praha",
            ServerRole.REPLICA,
            LogPosition.ZERO,
            0,
            5,
            30,
            leaving,
            1,
            1);
    return new BackendServer(announcement, announcedAtMillis, 0, Long.MAX_VALUE, announcedAtMillis);
  }
}
