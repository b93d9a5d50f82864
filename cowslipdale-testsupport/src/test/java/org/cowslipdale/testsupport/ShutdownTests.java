package org.cowslipdale.testsupport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.cowslipdale.testsupport.fleet.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Integration tests for the drain of a VM that is stopped. */
class ShutdownTests {

  @TempDir Path folder;

  /**
   * Guards against requests that fail in a rolling restart. Callers act as behind a load balancer:
   * every fifth request they check readiness and use another VM while theirs is not ready.
   */
  @Test
  void rollingRestartUnderLoadFailsNoRequest() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--service-millis", "5")) {
      ConcurrentLinkedQueue<CallerReply> failures = new ConcurrentLinkedQueue<>();
      AtomicInteger served = new AtomicInteger();
      AtomicBoolean stopping = new AtomicBoolean();
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < 9; i++) {
        int preferredVm = 1 + i % 3;
        callers.add(
            Thread.startVirtualThread(
                () -> sendUntilStopped(fleet, preferredVm, stopping, served, failures)));
      }
      for (Fleet.Vm vm : fleet.fleet().vms()) {
        TestFleet.pause(1_000);
        assertThat(vm.process().stop(), is(143));
        vm.process().start();
        fleet.fleet().awaitReady(vm);
      }
      stopping.set(true);
      for (Thread caller : callers) {
        join(caller);
      }

      assertThat(failures, empty());
      assertThat(served.get(), greaterThan(300));
    }
  }

  /**
   * Guards against a transaction aborted by a shutdown. The VM that holds it is stopped; the caller
   * continues through other VMs, which forward to it. The VM must exit after the commit only.
   */
  @Test
  void openTransactionCompletesBeforeItsVmStops() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      CallerSession session = fleet.newSession();
      String id =
          session
              .beginTransaction(fleet.callerAddress(2), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();
      session.runInTransaction(fleet.callerAddress(2), id, "put t 1");
      fleet.fleet().vm("vm2").process().requestStop();
      TestFleet.pause(2_000);

      CallerReply second = session.runInTransaction(fleet.callerAddress(1), id, "put u 1");
      CallerReply commit = session.endTransaction(fleet.callerAddress(3), id, "commit");

      assertThat(second.toString(), second.isSuccessful(), is(true));
      assertThat(commit.toString(), commit.isSuccessful(), is(true));
      assertThat(fleet.fleet().vm("vm2").process().await(), is(143));
      assertThat(session.run(fleet.callerAddress(1), "bonds", "own", "get u").result(), is("1"));
    }
  }

  /**
   * Guards against a commit whose answer is lost because the VM that runs it for another one exits.
   * While the commit runs, the transaction is no longer open and only the forwarded step is in
   * progress.
   */
  @Test
  void forwardedCommitIsAnsweredBeforeItsVmStops() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      CallerSession session = fleet.newSession();
      String id =
          session
              .beginTransaction(fleet.callerAddress(2), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();
      session.runInTransaction(fleet.callerAddress(2), id, "put t 1");
      fleet.fleet().vm("vm2").process().requestStop();
      TestFleet.pause(2_000);

      for (Fleet.Server server : fleet.fleet().servers()) {
        fleet.setFaults(server.spec().name(), "{\"answerDelayMillis\": 800}");
      }
      CallerReply commit = session.endTransaction(fleet.callerAddress(3), id, "commit");

      assertThat(commit.toString(), commit.isSuccessful(), is(true));
      assertThat(fleet.fleet().vm("vm2").process().await(), is(143));
    }
  }

  private static void sendUntilStopped(
      TestFleet fleet,
      int preferredVm,
      AtomicBoolean stopping,
      AtomicInteger served,
      ConcurrentLinkedQueue<CallerReply> failures) {
    CallerSession session = fleet.newSession();
    int vm = preferredVm;
    for (int i = 0; !stopping.get(); i++) {
      if (i % 5 == 0) {
        vm = readyVm(fleet, preferredVm);
      }
      CallerReply reply =
          i % 2 == 0
              ? session.run(
                  fleet.callerAddress(vm), "bonds", "plain-saves", "put s" + preferredVm + " " + i)
              : session.run(fleet.callerAddress(vm), "bonds", "own", "get s" + preferredVm);
      if (reply.isSuccessful()) {
        served.incrementAndGet();
      } else {
        failures.add(reply);
      }
    }
  }

  /** Returns the preferred VM, or the next one that is ready; the preferred one if none is. */
  private static int readyVm(TestFleet fleet, int preferredVm) {
    for (int i = 0; i < 3; i++) {
      int vm = 1 + (preferredVm - 1 + i) % 3;
      if (fleet.fleet().isReady(fleet.fleet().vm("vm" + vm))) {
        return vm;
      }
    }
    return preferredVm;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
