package org.cowslipdale.testsupport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.testsupport.Writers.Write;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Integration tests for network faults, suspended processes and concurrent load. */
class DisturbanceTests {

  @TempDir Path folder;

  /**
   * Guards against the acknowledgement of a write that a failover may discard. A VM is suspended
   * while the primary runs its write, and the primary is killed and replaced. The answer of the old
   * primary waits in the socket of the VM. After the VM resumes, it must not acknowledge that
   * answer, nor report {@code NOT_RUN} for a write that ran.
   */
  @Test
  void suspendedVmAcknowledgesNothingFromReplacedPrimary() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--service-millis", "300")) {
      String oldPrimary = fleet.operator(1).primary("bonds");
      String leader = fleet.operator(1).status().path("leader").asText();
      int suspended = leader.equals("vm1") ? 2 : 1;
      // The third VM: the numbers 1, 2 and 3 add up to 6.
      int other = 6 - suspended - Integer.parseInt(leader.substring(2));
      fleet.retryUntilDone(
          Duration.ofSeconds(10),
          () ->
              fleet
                  .newSession()
                  .run(fleet.callerAddress(suspended), "bonds", "plain-saves", "put warm 1"));
      CompletableFuture<CallerReply> write =
          CompletableFuture.supplyAsync(
              () ->
                  fleet
                      .newSession()
                      .run(fleet.callerAddress(suspended), "bonds", "plain-saves", "put f 1"));
      TestFleet.pause(100);
      fleet.fleet().vm("vm" + suspended).process().suspend();
      TestFleet.pause(500);
      fleet.fleet().server(oldPrimary).process().kill();
      String newPrimary = fleet.operator(other).awaitPrimary("bonds", oldPrimary);
      TestFleet.pause(1_000);

      fleet.fleet().vm("vm" + suspended).process().resume();
      CallerReply reply = write.join();

      assertThat(newPrimary, is(not(oldPrimary)));
      assertThat(
          reply.toString(), reply.isSuccessful() && reply.server().equals(oldPrimary), is(false));
      boolean falselyNotRun =
          reply.outcome().equals("NOT_RUN") && fleet.executionCount("put f 1") > 0;
      assertThat(reply.toString(), falselyNotRun, is(false));
    }
  }

  /**
   * Guards against VMs that keep using connections on which nothing arrives any more and which are
   * never closed. New connections work. Each VM must serve writes that start 7 s later.
   */
  @Test
  void replacesUnresponsiveConnections() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder);
        Writers writers = new Writers(fleet, "plain-saves", 1, 2, 3)) {
      TestFleet.pause(1_000);
      long blackholedNanos = System.nanoTime();
      fleet.fleet().network().blackholeOpenConnections();
      TestFleet.pause(8_000);
      List<Write> laterWrites = new ArrayList<>(writers.stop());
      laterWrites.removeIf(write -> write.startedNanos() < blackholedNanos + 7_000_000_000L);

      Set<Integer> servingVms = new HashSet<>();
      laterWrites.stream()
          .filter(write -> write.reply().isSuccessful())
          .forEach(w -> servingVms.add(w.vm()));
      assertThat(servingVms, is(Set.of(1, 2, 3)));
      assertThat(writers.executedButReportedNotRun(writers.recordedWrites()), empty());
    }
  }

  /**
   * Guards against a reply with the result of another call. The backend servers answer with the
   * identifier of the previous call, as a late answer does; callers must see no wrong value.
   */
  @Test
  void discardsAnswersToOtherCalls() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      CallerSession session = fleet.newSession();
      for (int i = 0; i < 20; i++) {
        session.run(fleet.callerAddress(1), "bonds", "plain-saves", "put k%d v%d".formatted(i, i));
      }
      for (var server : fleet.fleet().servers()) {
        fleet.setFaults(server.spec().name(), "{\"wrongCall\":true}");
      }
      AtomicInteger wrong = new AtomicInteger();
      List<Thread> readers = new ArrayList<>();
      for (int t = 0; t < 6; t++) {
        int first = t;
        readers.add(Thread.startVirtualThread(() -> countWrongReads(fleet, first, wrong)));
      }
      join(readers);

      assertThat(wrong.get(), is(0));
    }
  }

  /**
   * Guards against statements of two transactions on one connection. Eight callers run transactions
   * concurrently and send the statements of each through different VMs.
   */
  @Test
  void runsConcurrentTransactionsOnSeparateConnections() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--service-millis", "2")) {
      AtomicInteger committed = new AtomicInteger();
      List<Thread> callers = new ArrayList<>();
      for (int t = 0; t < 8; t++) {
        String name = "t" + t;
        int vm = 1 + t % 3;
        callers.add(Thread.startVirtualThread(() -> runTransactions(fleet, vm, name, committed)));
      }
      join(callers);

      assertThat(committed.get(), greaterThan(20));
      for (var server : fleet.fleet().servers()) {
        assertOneTransactionPerConnection(fleet.runLogEntries(server.spec().name()));
      }
    }
  }

  /**
   * Guards against stale reads in a session. Replicas apply records 400 ms late. Each read goes
   * through another VM than the write before it and must return the written value.
   */
  @Test
  void sessionReadsItsWritesAcrossVmsWhileReplicasLag() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--lag-millis", "400")) {
      CallerSession session = fleet.newSession();
      for (int i = 0; i < 60; i++) {
        String value = Integer.toString(i);
        CallerReply write =
            session.run(fleet.callerAddress(1 + i % 3), "bonds", "plain-saves", "put r " + value);
        assertThat(write.toString(), write.isSuccessful(), is(true));
        for (String workClass : List.of("own", "recent", "any")) {
          CallerReply read =
              session.run(fleet.callerAddress(1 + (i + 1) % 3), "bonds", workClass, "get r");
          assertThat(workClass + ": " + read, read.result(), is(value));
        }
      }
    }
  }

  /**
   * Guards against reads that are older than their class allows. A VM and a replica are isolated.
   * They may serve reads of the class {@code recent} for its maximum age of 6 s, to which the test
   * adds a tolerance of 1.5 s. Writes must fail with {@code NOT_RUN}; the open route stays
   * available.
   */
  @Test
  void isolatedFailureDomainServesBoundedReadsOnlyWithinMaxAge() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String primary = fleet.operator(1).primary("bonds");
      String leader = fleet.operator(1).status().path("leader").asText();
      int candidate = 0;
      for (int vm = 1; vm <= 3; vm++) {
        if (fleet.vmInDomainOf(primary) != vm && !leader.equals("vm" + vm)) {
          candidate = vm;
        }
      }
      int isolated = candidate;
      int connected = Integer.parseInt(leader.substring(2));
      CallerSession session = fleet.newSession();
      session.run(fleet.callerAddress(connected), "bonds", "plain-saves", "put age 0");
      for (int i = 0; i < 500; i++) {
        fleet.newSession().run(fleet.callerAddress(isolated), "bonds", "recent", "get age");
      }
      fleet.fleet().network().isolate(fleet.fleet().vm("vm" + isolated).spec().failureDomain());
      long isolatedNanos = System.nanoTime();
      boolean servedOnce = false;
      long lastServedMillis = 0;
      for (long millis = 0;
          millis < 14_000;
          millis = (System.nanoTime() - isolatedNanos) / 1_000_000) {
        CallerSession reader = new CallerSession(fleet.client(), fleet.key());
        CallerReply read = reader.run(fleet.callerAddress(isolated), "bonds", "recent", "get age");
        if (read.isSuccessful()) {
          servedOnce = true;
          lastServedMillis = (System.nanoTime() - isolatedNanos) / 1_000_000;
        }
        fleet
            .newSession()
            .run(fleet.callerAddress(connected), "bonds", "plain-saves", "put age " + millis);
      }

      assertThat(servedOnce, is(true));
      assertThat(lastServedMillis, lessThan(6_000L + 1_500));
      CallerReply write =
          fleet.newSession().run(fleet.callerAddress(isolated), "bonds", "plain-saves", "put no 1");
      assertThat(write.toString(), write.outcome(), is("NOT_RUN"));
      CallerReply open =
          new CallerSession(fleet.client(), null)
              .readOpenRoute(fleet.callerAddress(isolated), "notice");
      assertThat(open.toString(), open.isSuccessful(), is(true));
    }
  }

  /**
   * Guards against a rate limit that each VM applies by itself. 30 callers use all VMs, and one VM
   * is killed and restarted, which must not add tokens. The total must not exceed the rate of 50/s
   * plus the burst of 20.
   */
  @Test
  void limitsRateAndBurstOfCustomerAcrossAllVms() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String key = fleet.operator(1).addKey("small");
      AtomicInteger done = new AtomicInteger();
      long started = System.nanoTime();
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < 30; i++) {
        int vm = 1 + i % 3;
        callers.add(
            Thread.startVirtualThread(
                () -> {
                  CallerSession session = new CallerSession(fleet.client(), key);
                  while (System.nanoTime() - started < 8_000_000_000L) {
                    CallerReply reply =
                        session.run(fleet.callerAddress(vm), "bonds", "any", "get x");
                    if (reply.isSuccessful()) {
                      done.incrementAndGet();
                    }
                  }
                }));
      }
      TestFleet.pause(3_000);
      fleet.fleet().vm("vm3").process().kill();
      fleet.fleet().vm("vm3").process().start();
      join(callers);
      double seconds = (System.nanoTime() - started) / 1e9;

      assertThat((double) done.get(), lessThanOrEqualTo(20 + 50 * seconds));
      assertThat(done.get(), greaterThan(200));
    }
  }

  /** Reads keys and counts the results that belong to another key. */
  private static void countWrongReads(TestFleet fleet, int first, AtomicInteger wrong) {
    CallerSession session = fleet.newSession();
    for (int i = 0; i < 20; i++) {
      int k = (first + i) % 20;
      CallerReply read = session.run(fleet.callerAddress(1 + i % 3), "bonds", "any", "get k" + k);
      if (read.isSuccessful() && !read.result().isEmpty() && !read.result().equals("v" + k)) {
        wrong.incrementAndGet();
      }
    }
  }

  /** Runs five transactions, of which the third is rolled back, and counts the commits. */
  private static void runTransactions(
      TestFleet fleet, int vm, String name, AtomicInteger committed) {
    for (int round = 0; round < 5; round++) {
      CallerSession session = fleet.newSession();
      String id =
          session
              .beginTransaction(fleet.callerAddress(vm), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();
      for (int i = 0; i < 4; i++) {
        session.runInTransaction(
            fleet.callerAddress(1 + (vm + i) % 3),
            id,
            "put %s-%d-%d %s".formatted(name, round, i, name));
      }
      String end = round == 2 ? "rollback" : "commit";
      CallerReply reply = session.endTransaction(fleet.callerAddress(vm), id, end);
      committed.addAndGet(reply.isSuccessful() && round != 2 ? 1 : 0);
    }
  }

  /** Asserts that a connection carries one transaction only between its begin and its end. */
  private static void assertOneTransactionPerConnection(List<JsonNode> entries) {
    Map<Integer, String> transactions = new HashMap<>();
    for (JsonNode entry : entries) {
      int connection = entry.path("connection").asInt();
      String statement = entry.path("statement").asText("");
      switch (entry.path("operation").asText()) {
        case "/begin" -> transactions.put(connection, "");
        case "/commit", "/rollback" -> transactions.remove(connection);
        default -> {
          String currentTransaction = transactions.get(connection);
          if (currentTransaction != null) {
            String key = statement.split(" ", -1)[1];
            String transaction = key.substring(0, key.lastIndexOf('-'));
            assertThat(
                statement,
                currentTransaction.isEmpty() || currentTransaction.equals(transaction),
                is(true));
            transactions.put(connection, transaction);
          }
        }
      }
    }
  }

  private static void join(List<Thread> threads) {
    for (Thread thread : threads) {
      try {
        thread.join(Duration.ofMinutes(2));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
