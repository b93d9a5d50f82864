package org.cowslipdale.testsupport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class AtMostOnceTests {

  @TempDir Path folder;

  @Test
  void aResendWhileTheFirstAttemptRunsDoesNotRunAgain() throws IOException {
    try (TestFleet fleet = readyForClaims("--service-millis", "600")) {
      String id = CallerSession.newRequestId();
      CompletableFuture<CallerReply> first =
          CompletableFuture.supplyAsync(() -> save(fleet, 1, "put once-1 1", id));
      TestFleet.pause(200);

      CallerReply resent = save(fleet, 3, "put once-1 1", id);

      assertThat(resent.resultCode(), is(1008));
      assertThat(resent.outcome(), is("UNKNOWN"));
      assertThat(first.join().isSuccessful(), is(true));
      assertThat(save(fleet, 2, "put once-1 1", id).isSuccessful(), is(true));
      assertThat(fleet.timesRun("put once-1 1"), is(1L));
    }
  }

  @Test
  void aResendAfterTheFirstVmDiedInMidRequestDoesNotRunAgain() throws IOException {
    try (TestFleet fleet = readyForClaims("--service-millis", "400")) {
      String id = CallerSession.newRequestId();
      CompletableFuture<CallerReply> first =
          CompletableFuture.supplyAsync(() -> save(fleet, 3, "put once-2 1", id));
      TestFleet.pause(200);
      fleet.fleet().vm("vm3").process().kill();
      assertThat(first.join().isSuccessful(), is(false));

      CallerReply resent = save(fleet, 1, "put once-2 1", id);
      TestFleet.pause(600);

      assertThat(resent.outcome(), is(not("NOT_RUN")));
      assertThat(fleet.timesRun("put once-2 1"), lessThanOrEqualTo(1L));
    }
  }

  @Test
  void aResendAfterTheVmsThatRememberedItRestartedDoesNotRunAgain() throws IOException {
    try (TestFleet fleet = readyForClaims()) {
      String id = CallerSession.newRequestId();
      assertThat(save(fleet, 1, "put once-3 1", id).isSuccessful(), is(true));
      for (String vm : new String[] {"vm1", "vm2", "vm3"}) {
        fleet.fleet().vm(vm).process().kill();
        fleet.fleet().vm(vm).process().start();
        fleet.fleet().awaitReady(fleet.fleet().vm(vm));
      }
      fleet.untilDone(
          Duration.ofSeconds(20),
          () -> fleet.session().run(fleet.callers(2), "bonds", "plain-saves", "put x 1"));

      CallerReply resent = save(fleet, 2, "put once-3 1", id);

      assertThat(resent.isSuccessful(), is(false));
      assertThat(resent.outcome(), is("UNKNOWN"));
      assertThat(fleet.timesRun("put once-3 1"), is(1L));
      CallerReply fresh =
          fleet.untilDone(
              Duration.ofSeconds(20),
              () -> save(fleet, 2, "put once-4 1", CallerSession.newRequestId()));
      assertThat(fresh.toString(), fresh.isSuccessful(), is(true));
    }
  }

  @Test
  void anUnrepeatableRequestNeedsARequestId() throws IOException {
    try (TestFleet fleet = readyForClaims()) {
      CallerReply reply = save(fleet, 1, "put once-5 1", "not-a-uuid");

      assertThat(reply.resultCode(), is(1007));
      assertThat(fleet.timesRun("put once-5 1"), is(0L));
    }
  }

  @Test
  void anUnrepeatableRequestWithALostAnswerIsNotSentAgain() throws IOException {
    try (TestFleet fleet = readyForClaims()) {
      String primary = fleet.operator(1).primary("bonds");
      fleet.setFaults(primary, "{\"dropAnswers\":true}");

      CallerReply reply = save(fleet, 1, "put once-6 1", CallerSession.newRequestId());

      assertThat(reply.outcome(), is("UNKNOWN"));
      assertThat(fleet.timesRun("put once-6 1"), is(1L));
    }
  }

  /** Starts a fleet and waits until all VMs hold claims. */
  private TestFleet readyForClaims(String... options) throws IOException {
    TestFleet fleet = TestFleet.start(folder, options);
    TestFleet.pause(11_000);
    return fleet;
  }

  private static CallerReply save(TestFleet fleet, int vm, String statement, String id) {
    return fleet.session().run(fleet.callers(vm), "bonds", "saves", statement, id);
  }
}
