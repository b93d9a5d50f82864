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

/** Integration tests for the replacement of a primary. */
class FailoverTests {

  private static final long FAILOVER_LIMIT_MILLIS = 8_000;

  @TempDir Path folder;

  /**
   * Guards against the loss of acknowledged writes. Replicas apply records 20 ms late, so a killed
   * primary holds writes that a replica lacks. Writes that a replica confirmed must survive the
   * promotion. The killed server is started again before the next primary is killed.
   */
  @Test
  void losesNoReplicatedWriteWhenPrimariesAreKilledOneAfterTheOther() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--lag-millis", "20");
        Writers writers = new Writers(fleet, "safe-saves", 1, 2, 3, 1, 2, 3)) {
      for (int round = 0; round < 2; round++) {
        TestFleet.pause(1_000);
        String oldPrimary = fleet.operator(1).primary(TestFleet.DATABASE);
        fleet.fleet().server(oldPrimary).process().kill();
        String newPrimary = fleet.operator(1).awaitPrimary(TestFleet.DATABASE, oldPrimary);
        assertThat(newPrimary, is(not(oldPrimary)));
        fleet.fleet().server(oldPrimary).process().start();
        TestFleet.pause(2_500);
      }
      List<Write> writes = writers.stop();

      assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
      assertThat(writers.lostWrites(writes), empty());
      assertThat(writers.executedButReportedNotRun(writes), empty());
      assertThat(writes.size(), greaterThan(100));
    }
  }

  /**
   * Guards against acknowledgements by two primaries. The failure domain of the primary is
   * isolated, and its VM and the primary still reach each other. After the promotion of another
   * server, the old primary must not acknowledge a replicated write, even when the network is
   * healed.
   */
  @Test
  void acknowledgesNothingFromAReplacedPrimaryThatIsCutOff() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, 2)) {
      String oldPrimary = fleet.operator(1).primary(TestFleet.DATABASE);
      int isolatedVm = fleet.vmInDomainOf(oldPrimary);
      List<Integer> connectedVms = fleet.vmsOutsideDomainOf(isolatedVm);
      String domain = fleet.fleet().server(oldPrimary).spec().failureDomain();
      try (Writers writers =
          new Writers(
              fleet,
              "safe-saves",
              isolatedVm,
              isolatedVm,
              connectedVms.get(0),
              connectedVms.get(1))) {
        TestFleet.pause(1_000);
        fleet.fleet().network().isolate(domain);
        String newPrimary =
            fleet.operator(connectedVms.get(0)).awaitPrimary(TestFleet.DATABASE, oldPrimary);
        long promotedNanos = System.nanoTime();
        TestFleet.pause(4_000);
        fleet.fleet().network().reconnect(domain);
        fleet.retryUntilDone(
            Duration.ofSeconds(20),
            () ->
                fleet
                    .newSession()
                    .run(fleet.callerAddress(isolatedVm), "bonds", "plain-saves", "put x 1"));
        List<Write> writes = writers.stop();

        assertThat(newPrimary, is(not(oldPrimary)));
        assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
        assertThat(acknowledgedAfter(oldPrimary, writes, promotedNanos), empty());
        assertThat(writers.lostWrites(writes), empty());
        assertThat(writers.executedButReportedNotRun(writes), empty());
      }
    }
  }

  /**
   * Guards against calls to a server that is about to leave. The primary announces that it leaves;
   * after the promotion it must receive no more calls, and all acknowledged writes must remain.
   */
  @Test
  void replacesLeavingPrimaryWithoutLosingWrites() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder);
        Writers writers = new Writers(fleet, "plain-saves", 1, 2, 3)) {
      TestFleet.pause(500);
      String oldPrimary = fleet.operator(1).primary(TestFleet.DATABASE);

      fleet.setFaults(oldPrimary, "{\"leaving\":true}");
      fleet.operator(1).awaitPrimary(TestFleet.DATABASE, oldPrimary);
      TestFleet.pause(3_500);
      int entriesBefore = fleet.runLogEntries(oldPrimary).size();
      TestFleet.pause(1_500);
      int entriesAfter = fleet.runLogEntries(oldPrimary).size();
      List<Write> writes = writers.stop();

      assertThat("calls to the leaving server", entriesAfter - entriesBefore, is(0));
      assertThat(writers.lostWrites(writes), empty());
      assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
    }
  }

  /**
   * Guards against stale reads in a session. A write is acknowledged by the primary alone and lost
   * in the failover. The session that made it must receive code 1006; other sessions read normally.
   */
  @Test
  void reportsLostSessionPositionAfterFailover() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String oldPrimary = fleet.operator(1).primary(TestFleet.DATABASE);
      for (var server : fleet.fleet().servers()) {
        fleet.setFaults(server.spec().name(), "{\"stopReplication\":true}");
      }
      CallerSession session = fleet.newSession();
      CallerReply write = session.run(fleet.callerAddress(1), "bonds", "plain-saves", "put lost 1");
      assertThat(write.toString(), write.isSuccessful(), is(true));

      fleet.fleet().server(oldPrimary).process().kill();
      for (var server : fleet.fleet().servers()) {
        if (!server.spec().name().equals(oldPrimary)) {
          fleet.setFaults(server.spec().name(), "{}");
        }
      }
      fleet.operator(1).awaitPrimary(TestFleet.DATABASE, oldPrimary);
      boolean positionLostReported =
          TestFleet.await(
              Duration.ofSeconds(10),
              () ->
                  session.run(fleet.callerAddress(2), "bonds", "own", "get lost").resultCode()
                      == 1006);

      assertThat(positionLostReported, is(true));
      assertThat(
          fleet.newSession().run(fleet.callerAddress(2), "bonds", "own", "get lost").isSuccessful(),
          is(true));
    }
  }

  /** Returns the writes that a backend server executed and that were acknowledged after a time. */
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
