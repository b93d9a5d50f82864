package support;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clerks read statements of account with many rows, and repeat a read at other machines when the
 * connection breaks, as clients do.
 */
final class LargeResult {

  /** Rows of 2,000 bytes, 20 MB in all; a message may have 1 MiB. */
  private static final int ROWS = 10_000;

  private static final int ROW_BYTES = 2_000;
  private static final int CLIENTS = 9;
  private static final int RETRIES = 2;
  private static final long PAUSE_MILLIS = 1_000;
  private static final long PLAY_MILLIS = 60_000;

  /** By the rule: three ends in the day, on two machines at least. */
  private static final int ENDS = 3;

  private static final int MACHINES = 2;

  private LargeResult() {}

  public static void main(String[] args) throws IOException {
    System.exit(Case.run(Path.of(args[0]), LargeResult::play));
  }

  private static int play(Record record, boolean trouble, Case.Resources resources)
      throws IOException {
    DatabaseGroup group =
        resources.add(new DatabaseGroup("registry", 0, "127.0.0.1", record));
    Fleet fleet = resources.add(new Fleet(record, group.platformAddress()));
    Operator operator =
        resources.add(
            new Operator(fleet.cores().stream().map(fleet::controlAddress).toList(), record));
    fleet.startAll();
    for (int i = 0; i < 3; i++) {
      DatabaseServer server =
          group.add(
              new DatabaseServer(
                  group,
                  operator,
                  "i-" + (i + 1),
                  fleet.address(31 + i),
                  Fleet.zone("front-" + (i + 1)),
                  i == 0 ? 0 : 2));
      server.setLargeItem(trouble ? ROWS : 1, ROW_BYTES);
    }
    if (operator.configure(Operator.document(1, 0, "clerks")) != 200) {
      throw new IOException("the configuration was refused");
    }
    Operator.pause(5_000);
    if (!readOnce(record, fleet, "front-1", "item-1")) {
      throw new IOException("the fleet does not serve reads");
    }
    long end = record.millis() + PLAY_MILLIS;
    AtomicInteger operations = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      clients.add(
          Thread.ofPlatform()
              .start(
                  () -> {
                    while (record.millis() < end) {
                      operations.incrementAndGet();
                      served.addAndGet(readWithRetries(record, fleet, number) ? 1 : 0);
                      Operator.pause(PAUSE_MILLIS);
                    }
                  }));
    }
    for (Thread client : clients) {
      try {
        client.join();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    int machines = 0;
    for (String front : fleet.fronts()) {
      record.result("processes of %s ended by themselves %d times", front, fleet.ownEnds(front));
      machines += fleet.ownEnds(front) >= ENDS ? 1 : 0;
    }
    record.result("%d of %d reads were served", served.get(), operations.get());
    boolean broken = machines >= MACHINES;
    record.result(broken ? "Fault: on %d machines" : "no fault", machines);
    return broken ? 1 : 0;
  }

  private static boolean readWithRetries(Record record, Fleet fleet, int client) {
    boolean done = false;
    for (int attempt = 0; attempt <= RETRIES && !done; attempt++) {
      String front = fleet.fronts().get((client + attempt) % fleet.fronts().size());
      done = readOnce(record, fleet, front, "statement");
    }
    return done;
  }

  /** Reads an item in a new session; returns whether it was answered with success. */
  private static boolean readOnce(Record record, Fleet fleet, String front, String item) {
    String id = LineClient.newId();
    try (LineClient session = new LineClient(fleet.frontAddress(front), 10_000)) {
      session.start("holding", "key-clerks");
      LineClient.Answer answer = session.query(id, "READ " + item);
      record.line(
          "read %s of %s through %s is answered with %d rows and %s",
          id, item, front, answer.rows(), answer.succeeded() ? "success" : answer.error());
      return answer.succeeded();
    } catch (IOException e) {
      record.line("read %s of %s through %s ends with %s", id, item, front, e);
      return false;
    }
  }
}
