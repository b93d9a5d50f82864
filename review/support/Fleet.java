package support;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * The processes of a small deployment, each on a loopback address of its own: three core machines
 * and three front machines, with the command of {@code deploy/system.toml} and the settings that its
 * template yields. A process that ends by itself is started again, as on the platform.
 */
final class Fleet implements AutoCloseable {

  private static final long RESTART_DELAY_MILLIS = 300;
  private static final long GRACE_SECONDS = 6;
  private static final int ADMIN_PORT = 9190;

  /** The exit code of a process that ends as its heap is exhausted. */
  private static final int OUT_OF_MEMORY = 3;

  private static final List<String> ZONES = List.of("praha-a", "brno-a", "praha-b");

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final Record record;
  private final String prefix;
  private final int port;
  private final String command;
  private final String template;
  private final String platformAddress;
  private final Map<String, Process> processes = new TreeMap<>();
  private final Map<String, Integer> ownEnds = new TreeMap<>();
  private final Set<String> stopped = new HashSet<>();
  private boolean closing;

  Fleet(Record record, String platformPort) throws IOException {
    this.record = record;
    this.folder = Files.createTempDirectory("review-2-");
    this.prefix =
        "127.%d.%d."
            .formatted(
                ThreadLocalRandom.current().nextInt(10, 250),
                ThreadLocalRandom.current().nextInt(1, 250));
    this.port = freePorts();
    this.platformAddress = platformPort;
    this.command =
        Files.readString(root.resolve("deploy/system.toml"))
            .lines()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow()
            .replaceAll("^run = \"|\"$", "");
    this.template = Files.readString(root.resolve("deploy/settings.ini"));
  }

  /** Returns a loopback address for a stand-in of this deployment. */
  String address(int number) {
    return prefix + number;
  }

  List<String> cores() {
    return List.of("core-1", "core-2", "core-3");
  }

  List<String> fronts() {
    return List.of("front-1", "front-2", "front-3");
  }

  static String zone(String machine) {
    return ZONES.get(number(machine) - 1);
  }

  String frontAddress(String machine) {
    return ip(machine) + ":" + (port + 2);
  }

  String controlAddress(String machine) {
    return ip(machine) + ":" + (port + 1);
  }

  void startAll() throws IOException {
    for (String machine : cores()) {
      start(machine, true);
    }
    for (String machine : fronts()) {
      start(machine, true);
    }
  }

  /** Sends SIGTERM to a machine, and SIGKILL after {@code graceS}; it is not started again. */
  synchronized void terminate(String machine) {
    Process process = processes.get(machine);
    stopped.add(machine);
    record.line("SIGTERM to %s", machine);
    process.destroy();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                if (!process.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
                  record.line("SIGKILL to %s", machine);
                  process.destroyForcibly();
                }
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
  }

  /** Returns how often the processes of a machine ended by themselves for want of memory. */
  synchronized int ownEnds(String machine) {
    return ownEnds.getOrDefault(machine, 0);
  }

  private static int number(String machine) {
    return Integer.parseInt(machine.substring(machine.indexOf('-') + 1));
  }

  private String ip(String machine) {
    return prefix + ((machine.startsWith("core") ? 10 : 20) + number(machine));
  }

  private synchronized void start(String machine, boolean first) throws IOException {
    if (closing) {
      return;
    }
    Path settings = folder.resolve(machine + ".ini");
    Files.writeString(settings, Template.render(template, fields(machine, first)));
    List<String> words = new ArrayList<>();
    for (String word : command.split(" ")) {
      words.add(word.equals("/etc/cowslipdale/settings.yaml") ? settings.toString() : word);
    }
    Process process =
        new ProcessBuilder(words)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(new File(folder + "/" + machine + ".log")))
            .start();
    processes.put(machine, process);
    record.line("started %s as process %d", machine, process.pid());
    process.onExit().thenAccept(ended -> handleExit(machine, ended));
  }

  private void handleExit(String machine, Process ended) {
    synchronized (this) {
      if (closing) {
        return;
      }
      if (stopped.contains(machine)) {
        record.line("%s has ended with %d", machine, ended.exitValue());
        return;
      }
      if (ended.exitValue() == OUT_OF_MEMORY) {
        ownEnds.merge(machine, 1, Integer::sum);
      }
      record.line("process of %s ended by itself with %d", machine, ended.exitValue());
    }
    try {
      Thread.sleep(RESTART_DELAY_MILLIS);
      start(machine, false);
    } catch (IOException | InterruptedException e) {
      record.line("%s cannot be started again: %s", machine, e);
    }
  }

  private Map<String, Object> fields(String machine, boolean first) throws IOException {
    boolean core = machine.startsWith("core");
    Map<String, Object> listen = new LinkedHashMap<>();
    if (core) {
      listen.put("control", controlAddress(machine));
    } else {
      listen.put("front", frontAddress(machine));
      listen.put("readinessEndpoint", ip(machine) + ":" + (port + 3));
    }
    Map<String, Object> zones = new LinkedHashMap<>();
    ZONES.forEach(zone -> zones.put(zone, zone.replaceAll("-.*", "")));
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("node", machine + "-" + zone(machine));
    fields.put("ip", ip(machine));
    fields.put("zone", zone(machine));
    fields.put("region", zone(machine).replaceAll("-.*", ""));
    fields.put("zones", zones);
    fields.put("listenAddrs", listen);
    fields.put("internalPorts", List.of(port, port + 15));
    fields.put("seeds", cores().stream().map(this::controlAddress).toList());
    fields.put("bootstrap", first);
    if (core) {
      fields.put("dataDir", Files.createDirectories(folder.resolve(machine)).toString());
    }
    fields.put(
        "contracts",
        List.of("base", "drain", "config", "cost", "recover", "sql", "tenants", "quota"));
    fields.put("bounds", Map.of("graceS", 6, "fencingEnabled", true));
    fields.put("cloud", Map.of("address", platformAddress));
    return fields;
  }

  /** Finds free ports below the range of outgoing connections; one port is set by the template. */
  private int freePorts() throws IOException {
    if (!isFree(prefix + 1, ADMIN_PORT)) {
      throw new IOException("port " + ADMIN_PORT + " of the settings template is in use");
    }
    for (int attempt = 0; attempt < 100; attempt++) {
      int base = ThreadLocalRandom.current().nextInt(12_000, 30_000);
      boolean free = true;
      for (int i = 0; i < 4 && free; i++) {
        free = isFree("0.0.0.0", base + i);
      }
      if (free) {
        return base;
      }
    }
    throw new IOException("no free ports found");
  }

  private static boolean isFree(String host, int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  /** Ends all processes and removes their files. */
  @Override
  public void close() throws IOException {
    synchronized (this) {
      closing = true;
    }
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    for (Process process : processes.values()) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (var files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
