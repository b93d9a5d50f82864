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

/** Callers that write distinct keys through given VMs until they are stopped. */
final class Writers implements AutoCloseable {

  private final TestFleet fleet;
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<Write> writes = new ConcurrentLinkedQueue<>();
  private volatile boolean stopping;

  /**
   * A write and what its caller was told.
   *
   * @param vm the VM through which it went
   * @param key the key written
   * @param statement the statement
   * @param reply the reply
   * @param startedNanos when it was sent
   * @param endedNanos when the reply arrived
   */
  record Write(
      int vm,
      String key,
      String statement,
      CallerReply reply,
      long startedNanos,
      long endedNanos) {}

  Writers(TestFleet fleet, String workClass, int... vms) {
    this.fleet = fleet;
    for (int i = 0; i < vms.length; i++) {
      int vm = vms[i];
      String prefix = "w%d-%d".formatted(i, System.nanoTime());
      threads.add(Thread.startVirtualThread(() -> writeUntilStopped(vm, workClass, prefix)));
    }
  }

  /** Stops the callers and returns what they were told. */
  List<Write> stop() {
    close();
    return List.copyOf(writes);
  }

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

  /** Returns the acknowledged writes that cannot be read any more. */
  List<Write> lostWrites(List<Write> all) {
    CallerSession reader = fleet.newSession();
    CallerReply present =
        fleet.retryUntilDone(
            Duration.ofSeconds(20),
            () -> reader.run(fleet.callerAddress(1), TestFleet.DATABASE, "latest", "list w"));
    List<Write> lost = new ArrayList<>(all);
    lost.removeIf(
        write -> !write.reply().isSuccessful() || present.body().path("result").has(write.key()));
    return lost;
  }

  /** Returns the writes that were called not run although a server ran them. */
  List<Write> executedButReportedNotRun(List<Write> all) throws IOException {
    Set<String> ran = fleet.executedStatements();
    List<Write> untrue = new ArrayList<>(all);
    untrue.removeIf(
        write -> !write.reply().outcome().equals("NOT_RUN") || !ran.contains(write.statement()));
    return untrue;
  }

  /** Returns the longest time without an acknowledged write, in milliseconds. */
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
      CallerReply reply = session.run(fleet.callerAddress(vm), TestFleet.DATABASE, workClass, statement);
      writes.add(new Write(vm, key, statement, reply, started, System.nanoTime()));
      if (!reply.isSuccessful()) {
        TestFleet.pause(10);
      }
    }
  }
}
