import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Fault: some hundred changes of a large configuration, one after the other. */
final class Configurations extends Case {

  private static final long FIRST_VERSION = 7;
  private static final int CHANGES = 450;
  private static final int MORE_ROUTES = 350;
  private static final int BODY_LIMIT_BYTES = 262_144;
  private static final int ENDS_OF_A_VM = 3;
  private static final long RUN_MILLIS = 100_000;
  private static final int IN_PROGRESS = 3;

  private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
  private volatile boolean stopping;

  public static void main(String[] args) throws Exception {
    new Configurations().main(args[0]);
  }

  @Override
  boolean run(Path folder) throws Exception {
    int moreRoutes = trouble ? routes() : 0;
    try (Fleet fleet = new Fleet(folder, record, 3, 2);
        Service service = new Service(fleet, record)) {
      fleet.startAll();
      for (String vm : fleet.controlVms()) {
        ends.put(vm, new AtomicInteger());
        watch(fleet, vm);
      }
      int status = fleet.configure(document(0, 0), FIRST_VERSION, 30_000);
      require(status == 200, "no configuration was acknowledged: " + status);
      for (String vm : fleet.entryVms()) {
        require(fleet.awaitReady(vm, 30_000), vm + " is not ready");
      }
      long until = System.currentTimeMillis() + RUN_MILLIS;
      AtomicInteger sent = new AtomicInteger();
      AtomicInteger acknowledged = new AtomicInteger();
      List<Thread> senders = new ArrayList<>();
      for (int i = 0; i < IN_PROGRESS; i++) {
        senders.add(
            Thread.startVirtualThread(
                () -> {
                  while (System.currentTimeMillis() < until && !broken()) {
                    int change = sent.incrementAndGet();
                    if (change > CHANGES) {
                      return;
                    }
                    acknowledged.addAndGet(send(fleet, change, moreRoutes) == 200 ? 1 : 0);
                  }
                }));
      }
      for (Thread sender : senders) {
        sender.join();
      }
      record.line(
          "%d changes of %d bytes sent, %d acknowledged",
          Math.min(CHANGES, sent.get()),
          document(1, moreRoutes).length(),
          acknowledged.get());
      Thread.sleep(1_000);
      boolean broken = broken();
      stopping = true;
      record.line("processes that ended by themselves: %s", ends);
      require(broken || sent.get() >= CHANGES, "not all changes could be sent in time");
      return !broken;
    }
  }

  private static String document(int change, int moreRoutes) {
    return Service.configuration(FIRST_VERSION + 3L * change, KEY, moreRoutes);
  }

  private int send(Fleet fleet, int change, int moreRoutes) {
    String document = document(change, moreRoutes);
    long began = System.currentTimeMillis();
    int status = 0;
    try {
      status = fleet.configure(document, FIRST_VERSION + 3L * change, 6_000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    long took = System.currentTimeMillis() - began;
    if (change % 25 == 0 || took > 1_000) {
      record.line("change %d, %d bytes: %d after %d ms", change, document.length(), status, took);
    }
    return status;
  }

  /** Returns whether on half of the control VMs processes ended by themselves three times. */
  private boolean broken() {
    long ended = ends.values().stream().filter(count -> count.get() >= ENDS_OF_A_VM).count();
    return ended * 2 >= ends.size();
  }

  /** Returns how many routes are added: as often 350 as the body limit admits. */
  private static int routes() {
    int routes = 0;
    while (Service.configuration(1_000_000, KEY, routes + MORE_ROUTES).length() < BODY_LIMIT_BYTES) {
      routes += MORE_ROUTES;
    }
    return routes;
  }

  /** Starts a control VM again 0.5 s after its process has ended, as the platform does. */
  private void watch(Fleet fleet, String vm) {
    Process process = fleet.process(vm);
    process
        .onExit()
        .thenAccept(
            ended -> {
              if (stopping) {
                return;
              }
              record.line(
                  "the process of %s ended by itself, exit code %d, end %d",
                  vm, ended.exitValue(), ends.get(vm).incrementAndGet());
              try {
                Thread.sleep(500);
                if (!stopping) {
                  fleet.start(vm, false);
                  watch(fleet, vm);
                }
              } catch (Exception e) {
                record.line("%s could not be started again: %s", vm, e);
              }
            });
  }
}
