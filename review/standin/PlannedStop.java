import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** LOST: an entry VM is stopped as planned while its clients press. */
final class PlannedStop extends Case {

  private static final int SESSIONS_PER_VM = 35;
  private static final long WORK_MILLIS = 150;

  /** The time from an answer to the next request: there and back at 3 ms. */
  private static final long CLIENT_PAUSE_MILLIS = 6;

  private static final long GRACE_MILLIS = 6_000;
  private static final long LATE_REQUEST_MILLIS = 3_000;
  private static final long LOSS_SLACK_MILLIS = 200;
  private static final long ROUTE_TIMEOUT_MILLIS = 2_000;

  private final AtomicInteger answered = new AtomicInteger();
  private final Map<String, Cut> cuts = new ConcurrentHashMap<>();
  private volatile boolean stopping;

  /** A request whose connection ended without a complete answer. */
  private record Cut(String vm, long sentMillis, long cutMillis) {}

  public static void main(String[] args) throws Exception {
    new PlannedStop().main(args[0]);
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
      Thread.sleep(3_000);
      service.setWorkMillis(WORK_MILLIS);
      for (String vm : fleet.entryVms()) {
        for (int i = 0; i < SESSIONS_PER_VM; i++) {
          Thread.startVirtualThread(() -> readOn(fleet, vm));
        }
      }
      Thread.sleep(8_000);
      require(answered.get() > 100, "hardly any request is answered: " + answered.get());
      require(cuts.isEmpty(), "requests are cut before the stop: " + cuts);
      long stopMillis = System.currentTimeMillis();
      if (trouble) {
        fleet.process("front-1").destroy();
        record.line("sent SIGTERM to front-1; %d requests were answered before", answered.get());
      }
      Thread.sleep(GRACE_MILLIS + 2_000);
      if (trouble) {
        record.line(
            "front-1 %s",
            fleet.process("front-1").isAlive() ? "still runs" : "has ended before " + GRACE_MILLIS);
      }
      stopping = true;
      record.line("%d requests answered, %d cut", answered.get(), cuts.size());
      int lost = 0;
      for (Map.Entry<String, Cut> entry : cuts.entrySet()) {
        Cut cut = entry.getValue();
        long waited = cut.cutMillis - cut.sentMillis;
        boolean passedOn = service.hasArrived(entry.getKey());
        boolean counts =
            cut.vm.equals("front-1")
                && (passedOn || waited > LOSS_SLACK_MILLIS)
                && waited < ROUTE_TIMEOUT_MILLIS
                && cut.sentMillis - stopMillis > LATE_REQUEST_MILLIS
                && cut.cutMillis - stopMillis < GRACE_MILLIS + 1_000;
        lost += counts ? 1 : 0;
        record.line(
            "%s: request %s at %s, sent %d ms after the SIGTERM, reached a server: %s, cut after"
                + " %d ms",
            counts ? "LOST" : "not counted",
            entry.getKey(),
            cut.vm,
            cut.sentMillis - stopMillis,
            passedOn,
            waited);
      }
      return lost == 0;
    }
  }

  /** Reads, with the next request as soon as the answer is there, until the session is closed. */
  private void readOn(Fleet fleet, String vm) {
    String id = null;
    long sentMillis = 0;
    try (Client client = new Client(fleet.front(vm))) {
      if (!client.start("db-bounded", KEY).ok()) {
        return;
      }
      while (!stopping) {
        Thread.sleep(CLIENT_PAUSE_MILLIS);
        id = Client.newId();
        sentMillis = System.currentTimeMillis();
        Client.Answer answer = client.query(id, "READ 1a4");
        if ("cut".equals(answer.code())) {
          throw new IOException("the connection was closed");
        }
        answered.incrementAndGet();
        id = null;
      }
    } catch (IOException e) {
      if (id != null && !stopping) {
        cuts.put(id, new Cut(vm, sentMillis, System.currentTimeMillis()));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
