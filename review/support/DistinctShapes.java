package support;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Sessions prepare a statement, execute it once and deallocate it, each time with another shape of 60
 * KB. No session ever has more than one prepared statement.
 */
final class DistinctShapes {

  private static final int SESSIONS = 9;
  private static final int SHAPE_BYTES = 60_000;
  private static final long PLAY_MILLIS = 75_000;

  /** By the rule: three ends in the day, on two machines at least. */
  private static final int ENDS = 3;

  private static final int MACHINES = 2;

  private final Record record;
  private final Fleet fleet;
  private final boolean trouble;
  private final AtomicInteger served = new AtomicInteger();
  private volatile boolean ending;

  private DistinctShapes(Record record, Fleet fleet, boolean trouble) {
    this.record = record;
    this.fleet = fleet;
    this.trouble = trouble;
  }

  public static void main(String[] args) throws IOException {
    System.exit(Case.run(Path.of(args[0]), DistinctShapes::play));
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
      group.add(
          new DatabaseServer(
              group,
              operator,
              "i-" + (i + 1),
              fleet.address(31 + i),
              Fleet.zone("front-" + (i + 1)),
              i == 0 ? 0 : 2));
    }
    if (operator.configure(Operator.document(1, 0, "clerks")) != 200) {
      throw new IOException("the configuration was refused");
    }
    Operator.pause(5_000);
    return new DistinctShapes(record, fleet, trouble).run();
  }

  private int run() throws IOException {
    List<Thread> sessions = new ArrayList<>();
    for (int i = 0; i < SESSIONS; i++) {
      int number = i;
      sessions.add(Thread.ofPlatform().start(() -> hold(number)));
    }
    Operator.pause(PLAY_MILLIS);
    ending = true;
    for (Thread session : sessions) {
      try {
        session.join();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    int machines = 0;
    for (String front : fleet.fronts()) {
      record.result("processes of %s ended by themselves %d times", front, fleet.ownEnds(front));
      machines += fleet.ownEnds(front) >= ENDS ? 1 : 0;
    }
    record.result("%d statements were executed with success", served.get());
    if (served.get() == 0) {
      throw new IOException("the fleet does not serve");
    }
    boolean broken = machines >= MACHINES;
    record.result(broken ? "Fault: on %d machines" : "no fault", machines);
    return broken ? 1 : 0;
  }

  private void hold(int number) {
    String front = fleet.fronts().get(number % fleet.fronts().size());
    while (!ending) {
      try (LineClient session = new LineClient(fleet.frontAddress(front), 5_000)) {
        session.start("subscribe", "key-clerks");
        while (!ending) {
          String id = LineClient.newId();
          String shape = (trouble ? id : "0".repeat(id.length())) + "q".repeat(SHAPE_BYTES);
          require(session.query(LineClient.newId(), "PREPARE s1 WRITE " + shape));
          LineClient.Answer answer = session.query(id, "EXECUTE s1 item-1 data");
          served.addAndGet(answer.succeeded() ? 1 : 0);
          record.line(
              "execute %s through %s is answered with %s",
              id, front, answer.succeeded() ? answer.signature() : answer.error());
          require(session.query(LineClient.newId(), "DEALLOC s1"));
        }
      } catch (IOException e) {
        record.line("a session through %s ends with %s", front, e);
        Operator.pause(300);
      }
    }
  }

  private static void require(LineClient.Answer answer) throws IOException {
    if (!answer.error().isEmpty()) {
      throw new IOException(answer.error());
    }
  }
}
