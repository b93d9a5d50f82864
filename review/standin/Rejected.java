import java.io.IOException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/** Gate: the primary is gone, and both replicas are down for a while as they are to replace it. */
final class Rejected extends Case {

  private static final long CALL_MILLIS = 1_000;
  private static final long DOWN_MILLIS = 4_000;
  private static final long WATCH_MILLIS = 40_000;

  private final Set<String> crashed = new HashSet<>();

  public static void main(String[] args) throws Exception {
    new Rejected().main(args[0]);
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
      long until = System.currentTimeMillis() + 20_000;
      while (!writes(fleet) && System.currentTimeMillis() < until) {
        Thread.sleep(200);
      }
      String gone = service.primaryId();
      service.setSlowPlatform(
          CALL_MILLIS,
          id -> {
            if (trouble && firstCall(id)) {
              service.crash(id);
              Thread.startVirtualThread(
                  () -> {
                    try {
                      Thread.sleep(DOWN_MILLIS);
                      service.restart(id);
                    } catch (InterruptedException e) {
                      Thread.currentThread().interrupt();
                    }
                  });
            }
          });
      service.crash(gone);
      int owed = 0;
      int served = 0;
      int servedLate = 0;
      long start = System.currentTimeMillis();
      while (System.currentTimeMillis() - start < WATCH_MILLIS) {
        boolean ok = writes(fleet);
        owed++;
        served += ok ? 1 : 0;
        servedLate += ok && System.currentTimeMillis() - start > WATCH_MILLIS / 2 ? 1 : 0;
        Thread.sleep(100);
      }
      record.line("%d writes, %d served, %d in the second half", owed, served, servedLate);
      return servedLate > 0;
    }
  }

  private synchronized boolean firstCall(String id) {
    return crashed.add(id);
  }

  private boolean writes(Fleet fleet) {
    try (Client client = new Client(fleet.front("front-1"))) {
      return client.start("db-primary", KEY).ok()
          && client.query(Client.newId(), "WRITE ready yes").ok();
    } catch (IOException e) {
      return false;
    }
  }
}
