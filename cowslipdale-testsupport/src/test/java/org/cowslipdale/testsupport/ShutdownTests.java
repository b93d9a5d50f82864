package org.cowslipdale.testsupport;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
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

  /**
   * Guards against a request that is cut off because the stop of its VM is decided while the body
   * is still on its way.
   */
  @Test
  void requestWithPartialBodyIsAnsweredBeforeItsVmStops() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String[] address = fleet.callerAddress(2).split(":", 2);
      String body = "{\"statement\":\"put p 1\"}";
      String head =
          """
          POST /v1/databases/bonds/classes/plain-saves/statements HTTP/1.1\r
          Host: bonds\r
          Authorization: Bearer %s\r
          Content-Type: application/json\r
          Content-Length: %d\r
          \r
          """
              .formatted(fleet.key(), body.length());
      try (Socket socket = new Socket(address[0], Integer.parseInt(address[1]))) {
        socket.setSoTimeout(5_000);
        send(socket, head + body.substring(0, 5));
        TestFleet.pause(200);
        fleet.fleet().vm("vm2").process().requestStop();
        TestFleet.pause(1_800);
        send(socket, body.substring(5));

        BufferedReader reader =
            new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
        assertThat(reader.readLine(), startsWith("HTTP/1.1 200"));
      }
      assertThat(fleet.fleet().vm("vm2").process().await(), is(143));
    }
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(US_ASCII));
    socket.getOutputStream().flush();
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
