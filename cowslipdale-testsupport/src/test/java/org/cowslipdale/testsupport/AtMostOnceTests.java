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

/** Integration tests: a write of a non-repeatable class runs at most once. */
class AtMostOnceTests {

  @TempDir Path folder;

  /**
   * Guards against a second run when a caller resends a write through another VM before the first
   * attempt has completed. The resent write must fail with code 1008; a later one receives the
   * reply of the first attempt.
   */
  @Test
  void doesNotRepeatWriteResentDuringFirstAttempt() throws IOException {
    try (TestFleet fleet = startWithClaims("--service-millis", "600")) {
      String id = CallerSession.newRequestId();
      CompletableFuture<CallerReply> first =
          CompletableFuture.supplyAsync(() -> writeNonRepeatable(fleet, 1, "put once-1 1", id));
      TestFleet.pause(200);

      CallerReply resent = writeNonRepeatable(fleet, 3, "put once-1 1", id);

      assertThat(resent.resultCode(), is(1008));
      assertThat(resent.outcome(), is("UNKNOWN"));
      assertThat(first.join().isSuccessful(), is(true));
      assertThat(writeNonRepeatable(fleet, 2, "put once-1 1", id).isSuccessful(), is(true));
      assertThat(fleet.executionCount("put once-1 1"), is(1L));
    }
  }

  /**
   * Guards against a second run when the VM is killed while its write runs, and the caller resends
   * the write through another VM.
   */
  @Test
  void doesNotRepeatWriteResentAfterVmCrash() throws IOException {
    try (TestFleet fleet = startWithClaims("--service-millis", "400")) {
      String id = CallerSession.newRequestId();
      CompletableFuture<CallerReply> first =
          CompletableFuture.supplyAsync(() -> writeNonRepeatable(fleet, 3, "put once-2 1", id));
      TestFleet.pause(200);
      fleet.fleet().vm("vm3").process().kill();
      assertThat(first.join().isSuccessful(), is(false));

      CallerReply resent = writeNonRepeatable(fleet, 1, "put once-2 1", id);
      TestFleet.pause(600);

      assertThat(resent.outcome(), is(not("NOT_RUN")));
      assertThat(fleet.executionCount("put once-2 1"), lessThanOrEqualTo(1L));
    }
  }

  /**
   * Guards against a second run when the claim is lost. Claims are held in memory, so the restart
   * of all VMs in turn discards them. A VM must then reply {@code UNKNOWN} to requests that it may
   * have claimed before the restart, and must accept newer requests.
   */
  @Test
  void doesNotRepeatWriteResentAfterClaimHoldersRestart() throws IOException {
    try (TestFleet fleet = startWithClaims()) {
      String id = CallerSession.newRequestId();
      assertThat(writeNonRepeatable(fleet, 1, "put once-3 1", id).isSuccessful(), is(true));
      for (String vm : new String[] {"vm1", "vm2", "vm3"}) {
        fleet.fleet().vm(vm).process().kill();
        fleet.fleet().vm(vm).process().start();
        fleet.fleet().awaitReady(fleet.fleet().vm(vm));
      }
      fleet.retryUntilDone(
          Duration.ofSeconds(20),
          () -> fleet.newSession().run(fleet.callerAddress(2), "bonds", "plain-saves", "put x 1"));

      CallerReply resent = writeNonRepeatable(fleet, 2, "put once-3 1", id);

      assertThat(resent.isSuccessful(), is(false));
      assertThat(resent.outcome(), is("UNKNOWN"));
      assertThat(fleet.executionCount("put once-3 1"), is(1L));
      CallerReply newWrite =
          fleet.retryUntilDone(
              Duration.ofSeconds(20),
              () -> writeNonRepeatable(fleet, 2, "put once-4 1", CallerSession.newRequestId()));
      assertThat(newWrite.toString(), newWrite.isSuccessful(), is(true));
    }
  }

  /** Guards against a write that cannot be claimed: its request ID is not a UUID. */
  @Test
  void rejectsNonRepeatableWriteWithoutValidRequestId() throws IOException {
    try (TestFleet fleet = startWithClaims()) {
      CallerReply reply = writeNonRepeatable(fleet, 1, "put once-5 1", "not-a-uuid");

      assertThat(reply.resultCode(), is(1007));
      assertThat(fleet.executionCount("put once-5 1"), is(0L));
    }
  }

  /**
   * Guards against a retry by the VM. The primary runs the write and sends no answer, so the VM
   * cannot know the outcome.
   */
  @Test
  void doesNotRetryNonRepeatableWriteAfterLostAnswer() throws IOException {
    try (TestFleet fleet = startWithClaims()) {
      String primary = fleet.operator(1).primary("bonds");
      fleet.setFaults(primary, "{\"dropAnswers\":true}");

      CallerReply reply =
          writeNonRepeatable(fleet, 1, "put once-6 1", CallerSession.newRequestId());

      assertThat(reply.outcome(), is("UNKNOWN"));
      assertThat(fleet.executionCount("put once-6 1"), is(1L));
    }
  }

  /**
   * Starts a fleet and waits until all VMs hold claims. A VM other than the first starts to hold
   * claims 10 s ({@code View.CLAIM_CHANGE_DELAY_MILLIS}) after its registration.
   */
  private TestFleet startWithClaims(String... options) throws IOException {
    TestFleet fleet = TestFleet.start(folder, options);
    TestFleet.pause(11_000);
    return fleet;
  }

  private static CallerReply writeNonRepeatable(
      TestFleet fleet, int vm, String statement, String id) {
    return fleet.newSession().run(fleet.callerAddress(vm), "bonds", "saves", statement, id);
  }
}
