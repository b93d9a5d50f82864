package support;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A front machine is stopped as planned while clients receive an answer of 10 MB at 4 MB/s. Every
 * answer would be complete within the timeout of the route and within {@code graceS}.
 */
final class SlowDelivery {

  private static final int ROWS = 5_000;
  private static final int ROW_BYTES = 2_000;
  private static final int BYTES_PER_SECOND = 4_000_000;
  private static final int READERS = 1;

  /** The {@code timeoutMs} of the route. */
  private static final long ROUTE_TIMEOUT_MILLIS = 3_000;

  /** When the reads are sent after the SIGTERM. */
  private static final long READ_AFTER_MILLIS = 1_500;

  private SlowDelivery() {}

  public static void main(String[] args) throws IOException {
    System.exit(Case.run(Path.of(args[0]), SlowDelivery::play));
  }

  private static int play(Record record, boolean trouble, Case.Resources resources)
      throws IOException {
    DatabaseGroup group = resources.add(new DatabaseGroup("registry", 0, "127.0.0.1", record));
    Fleet fleet = resources.add(new Fleet(record, group.platformAddress()));
    Operator operator =
        resources.add(
            new Operator(fleet.cores().stream().map(fleet::controlAddress).toList(), record));
    fleet.startAll();
    for (int i = 0; i < 3; i++) {
      group
          .add(
              new DatabaseServer(
                  group,
                  operator,
                  "i-" + (i + 1),
                  fleet.address(31 + i),
                  Fleet.zone("front-" + (i + 1)),
                  i == 0 ? 0 : 2))
          .setLargeItem(ROWS, ROW_BYTES);
    }
    if (operator.configure(Operator.document(1, 0, "clerks")) != 200) {
      throw new IOException("the configuration was refused");
    }
    Operator.pause(5_000);
    String front = "front-1";
    List<LineClient> sessions = new ArrayList<>();
    for (int i = 0; i < READERS; i++) {
      LineClient session =
          resources.add(new LineClient(fleet.frontAddress(front), 10_000, BYTES_PER_SECOND));
      session.start("holding", "key-clerks");
      if (!session.query(LineClient.newId(), "READ item-1").succeeded()) {
        throw new IOException("the fleet does not serve reads");
      }
      sessions.add(session);
    }
    if (trouble) {
      fleet.terminate(front);
    }
    Operator.pause(READ_AFTER_MILLIS);
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    List<Thread> readers = new ArrayList<>();
    for (LineClient session : sessions) {
      readers.add(Thread.ofPlatform().start(() -> read(record, session, complete, cut)));
    }
    for (Thread reader : readers) {
      try {
        reader.join();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    record.result("%d answers were complete, %d were cut", complete.get(), cut.get());
    record.result(cut.get() == 0 ? "LOST held" : "LOST was broken");
    return cut.get() == 0 ? 0 : 1;
  }

  private static void read(
      Record record, LineClient session, AtomicInteger complete, AtomicInteger cut) {
    String id = LineClient.newId();
    record.line("read %s is sent", id);
    long sent = record.millis();
    try {
      LineClient.Answer answer = session.query(id, "READ statement");
      record.line(
          "read %s is answered after %d ms with %d rows and %s",
          id, record.millis() - sent, answer.rows(), answer.succeeded() ? "success" : answer.error());
      complete.incrementAndGet();
    } catch (IOException e) {
      long took = record.millis() - sent;
      // Cut after the server had begun to answer, and before the timeout of the route.
      boolean counts =
          session.rowsOfLatest() > 0
              && took < ROUTE_TIMEOUT_MILLIS
              && !(e instanceof SocketTimeoutException);
      record.line(
          "read %s ends after %d ms and %d rows: %s; it counts: %b",
          id, took, session.rowsOfLatest(), e, counts);
      cut.addAndGet(counts ? 1 : 0);
    }
  }
}
