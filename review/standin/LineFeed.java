import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** UNASKED: the data of a write contains a line feed, which does not end a message. */
final class LineFeed extends Case {

  public static void main(String[] args) throws Exception {
    new LineFeed().main(args[0]);
  }

  @Override
  boolean run(Path folder) throws Exception {
    try (Fleet fleet = new Fleet(folder, record, 3, 2);
        Service service = new Service(fleet, record)) {
      fleet.startAll();
      int status = fleet.configure(Service.configuration(7, KEY, 0), 7, 30_000);
      require(status == 200, "no configuration was acknowledged: " + status);
      for (String vm : fleet.entryVms()) {
        require(fleet.awaitReady(vm, 30_000), vm + " is not ready");
      }
      awaitWrites(fleet);
      String end = trouble ? "\n" : " ";
      String hidden = Client.newId();
      Map<String, String> sent = new HashMap<>();
      for (String data :
          List.of(
              "rent 300" + end + "food 120",
              "see below" + end + "QUERY " + hidden + " WRITE 77 paid")) {
        String id = Client.newId();
        String text = "WRITE 1a4 " + data;
        sent.put(id, text);
        try (Client client = new Client(fleet.front("front-1"))) {
          Client.Answer start = client.start("db-primary", KEY);
          require(start.ok(), "no session: " + start);
          record.line("client sends one message: QUERY %s %s", id, text);
          record.line("client gets %s", client.query(id, text));
          Thread.sleep(500);
        }
      }
      boolean held = true;
      Set<String> seen = new HashSet<>();
      for (Service.Run run : service.runs()) {
        seen.add(run.id());
        String text = sent.get(run.id());
        boolean probe = run.text().equals(PROBE);
        if (!probe && !run.text().equals(text)) {
          record.line(
              "UNASKED: %s ran id %s with text %s; the client sent %s",
              run.server(), run.id(), run.text(), text == null ? "no such id" : text);
          held = false;
        }
      }
      record.line("%d of %d messages were run under their id", count(sent, seen), sent.size());
      return held;
    }
  }

  private static final String PROBE = "WRITE ready yes";

  private static long count(Map<String, String> sent, Set<String> seen) {
    return sent.keySet().stream().filter(seen::contains).count();
  }

  private void awaitWrites(Fleet fleet) throws Exception {
    for (int attempt = 0; attempt < 150; attempt++) {
      try (Client client = new Client(fleet.front("front-1"))) {
        if (client.start("db-primary", KEY).ok() && client.query(Client.newId(), PROBE).ok()) {
          return;
        }
      } catch (java.io.IOException e) {
        record.line("not serving yet: %s", e);
      }
      Thread.sleep(200);
    }
    throw new NotRun("no write was served");
  }
}
