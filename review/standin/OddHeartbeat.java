import java.io.IOException;
import java.nio.file.Path;
import java.util.TreeMap;

/** Gate: another writer sends heartbeats whose address has a port out of range. */
final class OddHeartbeat extends Case {

  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final long TRAFFIC_MILLIS = 40_000;

  private volatile boolean stopping;

  public static void main(String[] args) throws Exception {
    new OddHeartbeat().main(args[0]);
  }

  @Override
  boolean run(Path folder) throws Exception {
    try (Fleet fleet = new Fleet(folder, record, 3, 2);
        Service service = new Service(fleet, record)) {
      if (trouble) {
        Thread.ofVirtual().start(() -> sendOddHeartbeats(fleet));
      }
      fleet.startAll();
      for (String vm : fleet.controlVms()) {
        while (!answersControl(fleet, vm)) {
          Thread.sleep(100);
        }
      }
      Thread.sleep(3_000);
      int status = fleet.configure(Service.configuration(7, KEY, 0), 7, 30_000);
      require(status == 200, "no configuration was acknowledged: " + status);
      for (String vm : fleet.entryVms()) {
        require(fleet.awaitReady(vm, 30_000), vm + " is not ready");
      }
      Thread.sleep(8_000);
      TreeMap<String, Integer> ends = new TreeMap<>();
      int owed = 0;
      int served = 0;
      String[][] kinds = {{"primary", "WRITE 1a4 x"}, {"bounded", "READ 1a4"}, {"read_your_writes", "READ 1a4"}};
      long until = System.currentTimeMillis() + TRAFFIC_MILLIS;
      while (System.currentTimeMillis() < until) {
        String[] kind = kinds[owed % kinds.length];
        String vm = fleet.entryVms().get(owed / kinds.length % fleet.entryVms().size());
        String end;
        try (Client client = new Client(fleet.front(vm))) {
          Client.Answer start = client.start("db-" + kind[0], KEY);
          Client.Answer answer = start.ok() ? client.query(Client.newId(), kind[1]) : start;
          end = answer.ok() ? "success" : answer.code();
        } catch (IOException e) {
          end = "cut (" + e.getMessage() + ")";
        }
        owed++;
        served += end.equals("success") ? 1 : 0;
        ends.merge(kind[0] + " " + end, 1, Integer::sum);
        Thread.sleep(50);
      }
      stopping = true;
      record.line("%d requests, %d served: %s", owed, served, ends);
      return (owed - served) * 10 <= owed * 6;
    }
  }

  private static boolean answersControl(Fleet fleet, String vm) {
    try {
      fleet.post(fleet.control(vm), "/v1/none", "{}");
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private void sendOddHeartbeats(Fleet fleet) {
    long born = System.currentTimeMillis();
    for (int sequence = 1; !stopping; sequence++) {
      String body =
          """
          {"service":"%s","address":"%s99:99999999999","zone":"thes-a","version":"v1","slots":3,\
          "state":"ready","coldRemainingMs":0,"dbRole":"primary","sequence":%d,"born":%d}"""
              .formatted(Service.NAME, fleet.network, sequence, born);
      for (String vm : fleet.controlVms()) {
        try {
          int status = fleet.post(fleet.control(vm), "/v1/instances/i-0dd0dd00/heartbeat", body);
          record.line("another writer sends to %s: %s -> %d", vm, body, status);
          break;
        } catch (IOException e) {
          continue;
        }
      }
      try {
        Thread.sleep(HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
