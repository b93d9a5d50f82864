package org.cowslipdale.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Freshness;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RelayedReadsTests {

  private static final long SENT_MILLIS = 10_000;
  private static final LogPosition POSITION = new LogPosition(1, 7);

  /** Guards against answers whose position was too old when the read reached the server. */
  @ParameterizedTest
  @CsvSource({
    // elapsed, server, how much newer than required the position is, recent enough
    "250, 5, 0, true",
    "251, 5, 0, false",
    "251, 1, 250, true",
    "300, 40, 400, false",
    "900, 800, 99, false",
    "900, 800, 100, true",
    "2000, 1990, 0, false",
  })
  void answerCountsIfThePositionWasRecentEnoughOnArrival(
      long elapsedMillis, long serverMillis, long spareMillis, boolean recentEnough) {
    long maxAgeMillis = 800;
    long completeUntil = SENT_MILLIS - maxAgeMillis + SessionRouter.TRANSIT_MILLIS + spareMillis;

    assertThat(
        RelayedReads.isRecentEnough(
            target(POSITION, completeUntil),
            new Freshness.BoundedAge(maxAgeMillis),
            SENT_MILLIS,
            elapsedMillis,
            serverMillis),
        is(recentEnough));
  }

  /** Guards against repeated reads that have no age limit or are covered by a lease. */
  @Test
  void readsWithoutAgeLimitCountAlways() {
    assertThat(isRecentEnough(null, new Freshness.BoundedAge(800)), is(true));
    assertThat(isRecentEnough(null, new Freshness.Latest()), is(true));
    assertThat(isRecentEnough(POSITION, new Freshness.Session()), is(true));
  }

  private static boolean isRecentEnough(@Nullable LogPosition position, Freshness freshness) {
    return RelayedReads.isRecentEnough(
        target(position, SENT_MILLIS), freshness, SENT_MILLIS, 5_000, 0);
  }

  private static SessionTarget.RunOn target(@Nullable LogPosition position, long completeUntil) {
    Announcement announcement =
        new Announcement(
            "bonds",
            "bonds-2",
            "address",
            "a",
            "r",
            ServerRole.REPLICA,
            LogPosition.ZERO,
            0,
            5,
            30,
            false,
            1,
            1);
    BackendServer server = new BackendServer(announcement, 0, 0, Long.MAX_VALUE, 0);
    return new SessionTarget.RunOn(server, 1, false, position, false, completeUntil);
  }
}
