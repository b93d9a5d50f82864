package support;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A service with {@code syncReplicas} 1. One replica receives nothing for some seconds, the other one
 * is shut down as planned and drains, and the primary crashes meanwhile. Every commit that a client was told of
 * is in the log of the replica that drains.
 */
final class DrainingReplica {

  private static final int WRITERS = 4;

  private final Set<String> acknowledged = ConcurrentHashMap.newKeySet();
  private final Record record;
  private final Fleet fleet;
  private volatile boolean ending;

  private DrainingReplica(Record record, Fleet fleet) {
    this.record = record;
    this.fleet = fleet;
  }

  public static void main(String[] args) throws IOException {
    System.exit(Case.run(Path.of(args[0]), DrainingReplica::play));
  }

  private static int play(Record record, boolean trouble, Case.Resources resources)
      throws IOException {
    DatabaseGroup group =
        resources.add(new DatabaseGroup("registry", 1, "127.0.0.1", record));
    Fleet fleet = resources.add(new Fleet(record, group.platformAddress()));
    Operator operator =
        resources.add(
            new Operator(fleet.cores().stream().map(fleet::controlAddress).toList(), record));
    fleet.startAll();
    DatabaseServer primary =
        group.add(
            new DatabaseServer(group, operator, "i-1", fleet.address(31), "praha-a", 0));
    DatabaseServer near =
        group.add(
            new DatabaseServer(group, operator, "i-2", fleet.address(32), "praha-b", 2));
    DatabaseServer far =
        group.add(new DatabaseServer(group, operator, "i-3", fleet.address(33), "brno-a", 30));
    if (operator.configure(Operator.document(1, 1, "clerks")) != 200) {
      throw new IOException("the configuration was refused");
    }
    return new DrainingReplica(record, fleet).disturb(group, primary, near, far, trouble);
  }

  private int disturb(
      DatabaseGroup group,
      DatabaseServer primary,
      DatabaseServer near,
      DatabaseServer far,
      boolean trouble)
      throws IOException {
    List<Thread> writers = new ArrayList<>();
    for (int i = 0; i < WRITERS; i++) {
      String front = fleet.fronts().get(i % fleet.fronts().size());
      writers.add(Thread.ofPlatform().start(() -> write(front)));
    }
    awaitWrites(50);
    Operator.pause(5_000);
    if (trouble) {
      far.setDeaf(true);
      Operator.pause(1_000);
      near.drain();
      Operator.pause(2_000);
      primary.crash();
      Operator.pause(3_500);
      far.setDeaf(false);
    }
    Operator.pause(3_500);
    ending = true;
    for (Thread writer : writers) {
      try {
        writer.join();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
    return check(group);
  }

  private void awaitWrites(int count) throws IOException {
    for (int i = 0; i < 300 && acknowledged.size() < count; i++) {
      Operator.pause(100);
    }
    if (acknowledged.size() < count) {
      throw new IOException("the fleet does not serve writes");
    }
  }

  private int check(DatabaseGroup group) {
    record.result(
        "%d writes were acknowledged, %d promotions", acknowledged.size(), group.promotions().size());
    Set<String> lost = new HashSet<>();
    for (DatabaseGroup.Promotion promotion : group.promotions()) {
      Set<String> missing = new HashSet<>(acknowledged);
      missing.removeIf(id -> group.termOf(id) >= promotion.term());
      missing.removeAll(promotion.held());
      missing.removeAll(lost);
      lost.addAll(missing);
      record.result(
          "%s was promoted without %d acknowledged commits", promotion.server(), missing.size());
      missing.forEach(id -> record.line("lost: %s", id));
    }
    record.result(lost.isEmpty() ? "LOST held" : "LOST was broken");
    return lost.isEmpty() ? 0 : 1;
  }

  /** Writes one item after the other, in sessions on one front machine. */
  private void write(String front) {
    while (!ending) {
      try (LineClient session = new LineClient(fleet.frontAddress(front), 5_000)) {
        session.start("subscribe", "key-clerks");
        while (!ending) {
          String id = LineClient.newId();
          LineClient.Answer answer = session.query(id, "WRITE item-1 data");
          if (answer.succeeded()) {
            acknowledged.add(id);
          }
          record.line(
              "write %s through %s is answered with %s",
              id, front, answer.succeeded() ? answer.signature() : answer.error());
          Operator.pause(60);
        }
      } catch (IOException e) {
        Operator.pause(200);
      }
    }
  }
}
