import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Fault: some clients write data of up to the size that a message may have. */
final class LargeMessages extends Case {

  private static final int CLIENTS_PER_VM = 16;
  private static final int LARGE_BYTES = (1 << 20) - 200;
  private static final int SMALL_BYTES = 200;
  private static final int ENDS_OF_A_VM = 3;
  private static final long RUN_MILLIS = 60_000;

  private final Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger cut = new AtomicInteger();
  private volatile boolean stopping;

  public static void main(String[] args) throws Exception {
    new LargeMessages().main(args[0]);
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
        ends.put(vm, new AtomicInteger());
        watch(fleet, vm);
      }
      String data = "x".repeat(trouble ? LARGE_BYTES : SMALL_BYTES);
      record.line(
          "%d clients at each entry VM write %d bytes each, one write after the other",
          CLIENTS_PER_VM, data.length());
      for (String vm : fleet.entryVms()) {
        for (int i = 0; i < CLIENTS_PER_VM; i++) {
          int number = i;
          Thread.ofVirtual().start(() -> write(fleet, vm, "1a" + number, data));
        }
      }
      long until = System.currentTimeMillis() + RUN_MILLIS;
      while (System.currentTimeMillis() < until && !broken()) {
        Thread.sleep(200);
      }
      boolean broken = broken();
      stopping = true;
      record.line("%d writes answered, %d cut without an answer", answered.get(), cut.get());
      record.line("processes that ended by themselves: %s", ends);
      require(broken || answered.get() > 0, "no write was answered");
      return !broken;
    }
  }

  /** Returns whether on two entry VMs processes ended by themselves three times. */
  private boolean broken() {
    return ends.values().stream().filter(count -> count.get() >= ENDS_OF_A_VM).count() >= 2;
  }

  private void write(Fleet fleet, String vm, String item, String data) {
    while (!stopping) {
      boolean sent = false;
      try (Client client = new Client(fleet.front(vm))) {
        if (client.start("db-primary", KEY).ok()) {
          while (!stopping) {
            sent = true;
            Client.Answer answer = client.query(Client.newId(), "WRITE " + item + " " + data);
            if ("cut".equals(answer.code())) {
              throw new IOException("cut");
            }
            answered.incrementAndGet();
            sent = false;
            Thread.sleep(ThreadLocalRandom.current().nextInt(100, 300));
          }
        }
        Thread.sleep(200);
      } catch (IOException e) {
        if (sent && !stopping) {
          cut.incrementAndGet();
        }
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(300);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts an entry VM again 0.5 s after its process has ended, as the platform does. */
  private void watch(Fleet fleet, String vm) {
    fleet
        .process(vm)
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
