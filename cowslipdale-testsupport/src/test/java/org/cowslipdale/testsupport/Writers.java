package org.cowslipdale.testsupport;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;

/** Concurrent callers, each of which writes distinct keys through one VM until it is stopped. */
final class Writers implements AutoCloseable {

  private final TestFleet fleet;
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<Write> writes = new ConcurrentLinkedQueue<>();
  private volatile boolean stopping;

  /**
   * A write and the reply that its caller received.
   *
   * @param vm the number of the VM that received the request
   * @param key the key written
   * @param statement the statement
   * @param reply the reply
   * @param startedNanos the time at which it was sent, as {@link System#nanoTime()}
   * @param endedNanos the time at which the reply arrived, as {@link System#nanoTime()}
   */
  record Write(
      int vm,
      String key,
      String statement,
      CallerReply reply,
      long startedNanos,
      long endedNanos) {}

  /** Starts one caller for each element of {@code vms}; a VM may occur more than once. */
  Writers(TestFleet fleet, String workClass, int... vms) {
    this.fleet = fleet;
    for (int i = 0; i < vms.length; i++) {
      int vm = vms[i];
      String prefix = "w%d-%d".formatted(i, System.nanoTime());
      threads.add(Thread.startVirtualThread(() -> writeUntilStopped(vm, workClass, prefix)));
    }
  }

  /** Stops the callers and returns all their writes. */
  List<Write> stop() {
    close();
    return List.copyOf(writes);
  }

  /** Returns the writes that have received a reply so far; callers may still be running. */
  List<Write> recordedWrites() {
    return List.copyOf(writes);
  }

  @Override
  public void close() {
    stopping = true;
    for (Thread thread : threads) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Returns the acknowledged writes whose keys the primary no longer stores. */
  List<Write> lostWrites(List<Write> all) {
    CallerSession reader = fleet.newSession();
    CallerReply stored =
        fleet.retryUntilDone(
            Duration.ofSeconds(20),
            () -> reader.run(fleet.callerAddress(1), TestFleet.DATABASE, "latest", "list w"));
    List<Write> lost = new ArrayList<>(all);
    lost.removeIf(
        write -> !write.reply().isSuccessful() || stored.body().path("result").has(write.key()));
    return lost;
  }

  /** Returns the writes reported as {@code NOT_RUN} although a backend server ran them. */
  List<Write> executedButReportedNotRun(List<Write> all) throws IOException {
    Set<String> ran = fleet.executedStatements();
    List<Write> contradicted = new ArrayList<>(all);
    contradicted.removeIf(
        write -> !write.reply().outcome().equals("NOT_RUN") || !ran.contains(write.statement()));
    return contradicted;
  }

  /** Returns the longest time between two successive acknowledgements, in milliseconds. */
  static long longestGapMillis(List<Write> all) {
    List<Write> done = new ArrayList<>(all);
    done.removeIf(write -> !write.reply().isSuccessful());
    done.sort((a, b) -> Long.compare(a.endedNanos(), b.endedNanos()));
    long longest = 0;
    for (int i = 1; i < done.size(); i++) {
      longest = Math.max(longest, done.get(i).endedNanos() - done.get(i - 1).endedNanos());
    }
    return longest / 1_000_000;
  }

  private void writeUntilStopped(int vm, String workClass, String prefix) {
    CallerSession session = fleet.newSession();
    for (int i = 0; !stopping; i++) {
      String key = prefix + "-" + i;
      String statement = "put %s 1".formatted(key);
      long started = System.nanoTime();
      CallerReply reply =
          session.run(fleet.callerAddress(vm), TestFleet.DATABASE, workClass, statement);
      writes.add(new Write(vm, key, statement, reply, started, System.nanoTime()));
      if (!reply.isSuccessful()) {
        TestFleet.pause(10);
      }
    }
  }
}
