package org.cowslipdale.testsupport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.testsupport.Writers.Write;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Integration test of the evacuation of a failure domain over the administration interface. */
class FailureDomainEvacuationTests {

  private static final long FAILOVER_LIMIT_MILLIS = 8_000;

  @TempDir Path folder;

  /**
   * Guards against calls to evacuated servers, and against the loss of writes when their primary is
   * replaced. Replicas lag, so that the successor must catch up first.
   */
  @Test
  void sendsNothingToEvacuatedServersAndLosesNoWrite() throws Exception {
    try (TestFleet fleet = TestFleet.start(folder, "--lag-millis", "20");
        Writers writers = new Writers(fleet, "safe-saves", 1, 2, 3)) {
      TestFleet.pause(500);
      String oldPrimary = fleet.operator(1).primary(TestFleet.DATABASE);
      String domain = fleet.fleet().server(oldPrimary).spec().failureDomain();
      AtomicInteger reads = new AtomicInteger();
      Thread reader = startReader(fleet, fleet.vmInDomainOf(oldPrimary), reads);

      JsonNode begun = order(fleet, 1, "start", domain);
      assertThat(begun.toString(), begun.path("code").asText(), is("OK"));
      assertThat(order(fleet, 2, "start", domain).path("code").asText(), is("OK"));
      TestFleet.pause(5_000);
      int entriesBefore = fleet.runLogEntries(oldPrimary).size();
      int readsBefore = reads.get();
      TestFleet.pause(1_500);
      boolean readsServed =
          TestFleet.await(Duration.ofSeconds(20), () -> reads.get() - readsBefore > 10);
      int entriesAfter = fleet.runLogEntries(oldPrimary).size();

      assertThat("calls to the evacuated server", entriesAfter - entriesBefore, is(0));
      assertThat("more than 10 reads elsewhere", readsServed, is(true));
      assertThat(fleet.operator(2).primary(TestFleet.DATABASE), is(not(oldPrimary)));
      assertThat(
          fleet.operator(2).status().path("evacuatedDomains").toString(),
          is("[\"" + domain + "\"]"));
      assertThat(order(fleet, 1, "start", "nowhere").path("code").asInt(), is(4006));

      assertThat(order(fleet, 3, "finish", domain).path("code").asText(), is("OK"));
      TestFleet.pause(5_000);
      assertThat(fleet.runLogEntries(oldPrimary).size(), greaterThan(entriesAfter));
      reader.interrupt();
      reader.join();
      List<Write> writes = writers.stop();
      assertThat(writers.lostWrites(writes), empty());
      assertThat(writers.executedButReportedNotRun(writes), empty());
      assertThat(Writers.longestGapMillis(writes), lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS));
    }
  }

  private static JsonNode order(TestFleet fleet, int vm, String action, String domain)
      throws IOException {
    return fleet
        .operator(vm)
        .call("POST", "/v1/admin/evacuations/" + action, Map.of("failureDomain", domain));
  }

  /**
   * Reads through the VM in the failure domain, whose nearest server is the one there. Each read
   * has a session of its own, so that a replica that lags may serve it too.
   */
  private static Thread startReader(TestFleet fleet, int vm, AtomicInteger successful) {
    return Thread.startVirtualThread(
        () -> {
          while (!Thread.currentThread().isInterrupted()) {
            CallerSession session = fleet.newSession();
            if (session.run(fleet.callerAddress(vm), "bonds", "own", "get x").isSuccessful()) {
              successful.incrementAndGet();
            }
            TestFleet.pause(20);
          }
        });
  }
}
