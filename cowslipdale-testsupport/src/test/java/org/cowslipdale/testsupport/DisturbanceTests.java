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

class DisturbanceTests {

  @TempDir Path folder;

  @Test
  void suspendedVmAcknowledgesNothingFromReplacedPrimary() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder, "--service-millis", "300")) {
      String old = fleet.operator(1).primary("bonds");
      String leader = fleet.operator(1).status().path("leader").asText();
      int frozen = leader.equals("vm1") ? 2 : 1;
      int other = 6 - frozen - Integer.parseInt(leader.substring(2));
      fleet.retryUntilDone(
          Duration.ofSeconds(10),
          () -> fleet.newSession().run(fleet.callerAddress(frozen), "bonds", "plain-saves", "put warm 1"));
      CompletableFuture<CallerReply> write =
          CompletableFuture.supplyAsync(
              () -> fleet.newSession().run(fleet.callerAddress(frozen), "bonds", "plain-saves", "put f 1"));
      TestFleet.pause(100);
      fleet.fleet().vm("vm" + frozen).process().suspend();
      TestFleet.pause(500);
      fleet.fleet().server(old).process().kill();
      String next = fleet.operator(other).awaitPrimary("bonds", old);
      TestFleet.pause(1_000);

      fleet.fleet().vm("vm" + frozen).process().resume();
      CallerReply reply = write.join();

      assertThat(next, is(not(old)));
      assertThat(reply.toString(), reply.isSuccessful() && reply.server().equals(old), is(false));
      boolean untrue = reply.outcome().equals("NOT_RUN") && fleet.executionCount("put f 1") > 0;
      assertThat(reply.toString(), untrue, is(false));
    }
  }

  @Test
  void replacesUnresponsiveConnections() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder);
        Writers writers = new Writers(fleet, "plain-saves", 1, 2, 3)) {
      TestFleet.pause(1_000);
      long silencedNanos = System.nanoTime();
      fleet.fleet().network().blackholeOpenConnections();
      TestFleet.pause(8_000);
      List<Write> late = new ArrayList<>(writers.stop());
      late.removeIf(write -> write.startedNanos() < silencedNanos + 7_000_000_000L);

      Set<Integer> working = new HashSet<>();
      late.stream().filter(write -> write.reply().isSuccessful()).forEach(w -> working.add(w.vm()));
      assertThat(working, is(Set.of(1, 2, 3)));
      assertThat(writers.executedButReportedNotRun(writers.recordedWrites()), empty());
    }
  }

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

  @Test
  void isolatedFailureDomainServesBoundedReadsOnlyWithinMaxAge() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String primary = fleet.operator(1).primary("bonds");
      String leader = fleet.operator(1).status().path("leader").asText();
      int cut = 0;
      for (int vm = 1; vm <= 3; vm++) {
        if (fleet.vmInDomainOf(primary) != vm && !leader.equals("vm" + vm)) {
          cut = vm;
        }
      }
      int inside = cut;
      int outside = Integer.parseInt(leader.substring(2));
      CallerSession session = fleet.newSession();
      session.run(fleet.callerAddress(outside), "bonds", "plain-saves", "put age 0");
      for (int i = 0; i < 500; i++) {
        fleet.newSession().run(fleet.callerAddress(inside), "bonds", "recent", "get age");
      }
      fleet.fleet().network().isolate(fleet.fleet().vm("vm" + inside).spec().failureDomain());
      long cutNanos = System.nanoTime();
      boolean servedOnce = false;
      long lastServedMillis = 0;
      for (long millis = 0; millis < 14_000; millis = (System.nanoTime() - cutNanos) / 1_000_000) {
        CallerSession reader = new CallerSession(fleet.client(), fleet.key());
        CallerReply read = reader.run(fleet.callerAddress(inside), "bonds", "recent", "get age");
        if (read.isSuccessful()) {
          servedOnce = true;
          lastServedMillis = (System.nanoTime() - cutNanos) / 1_000_000;
        }
        fleet.newSession().run(fleet.callerAddress(outside), "bonds", "plain-saves", "put age " + millis);
      }

      assertThat(servedOnce, is(true));
      assertThat(lastServedMillis, lessThan(6_000L + 1_500));
      CallerReply write =
          fleet.newSession().run(fleet.callerAddress(inside), "bonds", "plain-saves", "put no 1");
      assertThat(write.toString(), write.outcome(), is("NOT_RUN"));
      CallerReply open =
          new CallerSession(fleet.client(), null).readOpenRoute(fleet.callerAddress(inside), "notice");
      assertThat(open.toString(), open.isSuccessful(), is(true));
    }
  }

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
                    CallerReply reply = session.run(fleet.callerAddress(vm), "bonds", "any", "get x");
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

  private static void runTransactions(TestFleet fleet, int vm, String name, AtomicInteger committed) {
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
            fleet.callerAddress(1 + (vm + i) % 3), id, "put %s-%d-%d %s".formatted(name, round, i, name));
      }
      String end = round == 2 ? "rollback" : "commit";
      CallerReply reply = session.endTransaction(fleet.callerAddress(vm), id, end);
      committed.addAndGet(reply.isSuccessful() && round != 2 ? 1 : 0);
    }
  }

  /** Between begin and end, a connection must carry the statements of one transaction only. */
  private static void assertOneTransactionPerConnection(List<JsonNode> runs) {
    Map<Integer, String> owners = new HashMap<>();
    for (JsonNode run : runs) {
      int connection = run.path("connection").asInt();
      String statement = run.path("statement").asText("");
      switch (run.path("operation").asText()) {
        case "/begin" -> owners.put(connection, "");
        case "/commit", "/rollback" -> owners.remove(connection);
        default -> {
          String owner = owners.get(connection);
          if (owner != null) {
            String key = statement.split(" ", -1)[1];
            String transaction = key.substring(0, key.lastIndexOf('-'));
            assertThat(statement, owner.isEmpty() || owner.equals(transaction), is(true));
            owners.put(connection, transaction);
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
