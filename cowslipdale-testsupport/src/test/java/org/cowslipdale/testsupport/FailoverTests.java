package org.cowslipdale.testsupport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.cowslipdale.testsupport.Writers.Write;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FailoverTests {

  private static final long FAILOVER_LIMIT_MILLIS = 8_000;

  @TempDir Path folder;

  @Test
  void losesNoReplicatedWriteWhenPrimariesAreKilledOneAfterTheOther() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--lag-millis", "20");
        Writers writers = new Writers(fleet, "safe-saves", 1, 2, 3, 1, 2, 3)) {
      for (int round = 0; round < 2; round++) {
        TestFleet.pause(1_000);
        String old = fleet.operator(1).primary(TestFleet.DATABASE);
        fleet.fleet().server(old).process().kill();
        String next = fleet.operator(1).awaitPrimary(TestFleet.DATABASE, old);
        assertThat(next, is(not(old)));
        fleet.fleet().server(old).process().start();
        TestFleet.pause(2_500);
      }
      List<Write> writes = writers.stop();

      assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
      assertThat(writers.lostWrites(writes), empty());
      assertThat(writers.executedButReportedNotRun(writes), empty());
      assertThat(writes.size(), greaterThan(100));
    }
  }

  @Test
  void acknowledgesNothingFromAReplacedPrimaryThatIsCutOff() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, 2)) {
      String old = fleet.operator(1).primary(TestFleet.DATABASE);
      int inside = fleet.vmInDomainOf(old);
      List<Integer> outside = fleet.vmsOutsideDomainOf(inside);
      String domain = fleet.fleet().server(old).spec().failureDomain();
      try (Writers writers =
          new Writers(fleet, "safe-saves", inside, inside, outside.get(0), outside.get(1))) {
        TestFleet.pause(1_000);
        fleet.fleet().network().isolate(domain);
        String next = fleet.operator(outside.get(0)).awaitPrimary(TestFleet.DATABASE, old);
        long promotedNanos = System.nanoTime();
        TestFleet.pause(4_000);
        fleet.fleet().network().reconnect(domain);
        fleet.retryUntilDone(
            Duration.ofSeconds(20),
            () -> fleet.newSession().run(fleet.callerAddress(inside), "bonds", "plain-saves", "put x 1"));
        List<Write> writes = writers.stop();

        assertThat(next, is(not(old)));
        assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
        assertThat(acknowledgedAfter(old, writes, promotedNanos), empty());
        assertThat(writers.lostWrites(writes), empty());
        assertThat(writers.executedButReportedNotRun(writes), empty());
      }
    }
  }

  @Test
  void replacesLeavingPrimaryWithoutLosingWrites() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder);
        Writers writers = new Writers(fleet, "plain-saves", 1, 2, 3)) {
      TestFleet.pause(500);
      String old = fleet.operator(1).primary(TestFleet.DATABASE);

      fleet.setFaults(old, "{\"leaving\":true}");
      fleet.operator(1).awaitPrimary(TestFleet.DATABASE, old);
      TestFleet.pause(3_500);
      int before = fleet.runLogEntries(old).size();
      TestFleet.pause(1_500);
      int after = fleet.runLogEntries(old).size();
      List<Write> writes = writers.stop();

      assertThat("work on the leaving server", after - before, is(0));
      assertThat(writers.lostWrites(writes), empty());
      assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
    }
  }

  @Test
  void reportsLostSessionPositionAfterFailover() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String old = fleet.operator(1).primary(TestFleet.DATABASE);
      for (var server : fleet.fleet().servers()) {
        fleet.setFaults(server.spec().name(), "{\"stopReplication\":true}");
      }
      CallerSession session = fleet.newSession();
      CallerReply write = session.run(fleet.callerAddress(1), "bonds", "plain-saves", "put doomed 1");
      assertThat(write.toString(), write.isSuccessful(), is(true));

      fleet.fleet().server(old).process().kill();
      for (var server : fleet.fleet().servers()) {
        if (!server.spec().name().equals(old)) {
          fleet.setFaults(server.spec().name(), "{}");
        }
      }
      fleet.operator(1).awaitPrimary(TestFleet.DATABASE, old);
      boolean told =
          TestFleet.await(
              Duration.ofSeconds(10),
              () ->
                  session.run(fleet.callerAddress(2), "bonds", "own", "get doomed").resultCode() == 1006);

      assertThat(told, is(true));
      assertThat(
          fleet.newSession().run(fleet.callerAddress(2), "bonds", "own", "get doomed").isSuccessful(),
          is(true));
    }
  }

  private static List<Write> acknowledgedAfter(String server, List<Write> writes, long afterNanos) {
    List<Write> found = new ArrayList<>();
    for (Write write : writes) {
      boolean byServer = write.reply().isSuccessful() && write.reply().server().equals(server);
      if (byServer && write.endedNanos() > afterNanos) {
        found.add(write);
      }
    }
    return found;
  }
}
