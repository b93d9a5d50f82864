package org.cowslipdale.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;

class ServerCapacityTests {

  private static final int SLOTS = 4;

  private final ServerCapacity capacity = new ServerCapacity();
  private long now = 1_000;

  /** A mean over all statements would rate the slow server, which runs short ones, as faster. */
  @Test
  void fastClassDoesNotHideSlowServer() {
    for (int i = 0; i < 200; i++) {
      now += 10;
      serve("slow", "short", 8);
      serve("good", i % 10 == 0 ? "short" : "long", i % 10 == 0 ? 4 : 40);
    }

    assertThat(slowness("slow"), is(greaterThan(1.7)));
    assertThat(slowness("good"), is(lessThan(1.2)));
  }

  /** Writes run on the primary only; counted as best times they would hide a slow primary. */
  @Test
  void classOfOneServerDoesNotHideSlowServer() {
    for (int i = 0; i < 400; i++) {
      now += 10;
      serve("primary", "write", 12);
      if (i % 10 == 0) {
        serve("primary", "read", 12);
        serve("replica", "read", 4);
      }
    }

    assertThat(slowness("primary"), is(greaterThan(2.0)));
  }

  @Test
  void fastFailuresRaiseExpectedTime() {
    for (int i = 0; i < 100; i++) {
      now += 10;
      serve("good", "read", 10);
      capacity.failed("grey", SLOTS, now);
    }

    assertThat(
        capacity.expectedMillis("grey", SLOTS, 0),
        is(greaterThan(5 * capacity.expectedMillis("good", SLOTS, 2))));
  }

  @Test
  void rejectionsAndTimeoutsReduceLimitOncePerBurst() {
    for (int i = 0; i < 5; i++) {
      capacity.rejected("full", SLOTS, now);
      capacity.timedOut("silent", 500, SLOTS, now);
    }
    assertThat(capacity.estimate("full", SLOTS).limit(), is(SLOTS * 0.8));
    assertThat(capacity.estimate("silent", SLOTS).limit(), is(SLOTS * 0.5));
    assertThat(slowness("silent"), is(greaterThan(2.0)));
  }

  /** A sequence of new names must not make the VM hold ever more, nor displace names in use. */
  @Test
  void boundsServersAndClasses() {
    serve("used", "used", 10);
    for (int i = 0; i < 3_000; i++) {
      now += 10;
      serve("server" + i, "class" + i, 10);
      serve("used", "used", 10);
    }

    assertThat(capacity.estimates().size(), is(lessThanOrEqualTo(ServerCapacity.MAX_SERVERS)));
    assertThat(capacity.classCount(), is(lessThanOrEqualTo(ServerCapacity.MAX_CLASSES)));
    assertThat(capacity.estimates().containsKey("used"), is(true));
  }

  private void serve(String server, String statementClass, long millis) {
    capacity.served(server, statementClass, millis, SLOTS, 1, now);
  }

  private double slowness(String server) {
    return capacity.estimate(server, SLOTS).slowness();
  }
}
