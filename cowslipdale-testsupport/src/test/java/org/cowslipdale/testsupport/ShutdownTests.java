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

class ShutdownTests {

  @TempDir Path folder;

  /** Callers do as behind a balancer: they leave a VM once it says that it is not ready. */
  @Test
  void rollingRestartUnderLoadFailsNoRequest() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--service-millis", "5")) {
      ConcurrentLinkedQueue<CallerReply> failures = new ConcurrentLinkedQueue<>();
      AtomicInteger served = new AtomicInteger();
      AtomicBoolean stopping = new AtomicBoolean();
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < 9; i++) {
        int home = 1 + i % 3;
        callers.add(Thread.startVirtualThread(() -> sendUntilStopped(fleet, home, stopping, served, failures)));
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

  private static void sendUntilStopped(
      TestFleet fleet,
      int home,
      AtomicBoolean stopping,
      AtomicInteger served,
      ConcurrentLinkedQueue<CallerReply> failures) {
    CallerSession session = fleet.newSession();
    int vm = home;
    for (int i = 0; !stopping.get(); i++) {
      if (i % 5 == 0) {
        vm = readyVm(fleet, home);
      }
      CallerReply reply =
          i % 2 == 0
              ? session.run(fleet.callerAddress(vm), "bonds", "plain-saves", "put s" + home + " " + i)
              : session.run(fleet.callerAddress(vm), "bonds", "own", "get s" + home);
      if (reply.isSuccessful()) {
        served.incrementAndGet();
      } else {
        failures.add(reply);
      }
    }
  }

  private static int readyVm(TestFleet fleet, int home) {
    for (int i = 0; i < 3; i++) {
      int vm = 1 + (home - 1 + i) % 3;
      if (fleet.fleet().isReady(fleet.fleet().vm("vm" + vm))) {
        return vm;
      }
    }
    return home;
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
