import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Control VMs and entry VMs as separate processes on loopback addresses, started with the command of
 * deploy/system.toml and settings rendered from deploy/settings.ini.
 */
final class Fleet implements AutoCloseable {

  private static final List<String> ZONES = List.of("thes-a", "ath-a", "thes-b");
  private static final Map<String, String> REGIONS =
      Map.of("thes-a", "macedonia", "thes-b", "macedonia", "ath-a", "attica");

  final Path folder;
  final String network;
  final String platformAddress;
  final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final int port;
  private final Record record;
  private final List<String> controlVms = new ArrayList<>();
  private final List<String> entryVms = new ArrayList<>();
  private final Map<String, Process> processes = new ConcurrentHashMap<>();

  Fleet(Path folder, Record record, int controlCount, int entryCount) throws IOException {
    this.folder = folder;
    this.record = record;
    this.network = "127.%d.%d.".formatted(random(10, 250), random(1, 250));
    this.port = freePort();
    this.platformAddress = network + "200:" + (port + 5);
    for (int i = 0; i < controlCount; i++) {
      controlVms.add("core-" + (i + 1));
    }
    for (int i = 0; i < entryCount; i++) {
      entryVms.add("front-" + (i + 1));
    }
    for (String vm : controlVms) {
      Files.createDirectories(dataFolder(vm));
    }
  }

  List<String> controlVms() {
    return controlVms;
  }

  List<String> entryVms() {
    return entryVms;
  }

  Path dataFolder(String vm) {
    return folder.resolve(vm + "-data");
  }

  String ip(String vm) {
    boolean control = vm.startsWith("core");
    return network + (Integer.parseInt(vm.substring(vm.indexOf('-') + 1)) + (control ? 10 : 100));
  }

  String control(String vm) {
    return ip(vm) + ":" + (port + 3);
  }

  InetSocketAddress front(String vm) {
    return new InetSocketAddress(ip(vm), port + 1);
  }

  String zone(String vm) {
    return ZONES.get((Integer.parseInt(vm.substring(vm.indexOf('-') + 1)) - 1) % ZONES.size());
  }

  /** Starts a VM; its output goes to a file of its own. */
  Process start(String vm, boolean bootstrap) throws IOException {
    Path settings = folder.resolve(vm + ".ini");
    Files.writeString(settings, settings(vm, bootstrap), UTF_8);
    List<String> command = new ArrayList<>();
    for (String word : deployCommand().split(" ")) {
      command.add(word.equals("/etc/cowslipdale/settings.yaml") ? settings.toString() : word);
    }
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(vm + ".log").toFile()))
            .start();
    processes.put(vm, process);
    record.line("started %s, process %d", vm, process.pid());
    return process;
  }

  void startAll() throws IOException {
    for (String vm : controlVms) {
      start(vm, true);
    }
    for (String vm : entryVms) {
      start(vm, true);
    }
  }

  Process process(String vm) {
    return processes.get(vm);
  }

  /** Returns whether a VM answers its health check (entry) or a read of the configuration. */
  boolean isReady(String vm) {
    try {
      String uri =
          vm.startsWith("core")
              ? "http://" + control(vm) + "/v1/config/get"
              : "http://%s:%d/v1/readiness".formatted(ip(vm), port + 2);
      return status(HttpRequest.newBuilder(URI.create(uri)).GET()) == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean awaitReady(String vm, long millis) throws InterruptedException {
    long until = System.currentTimeMillis() + millis;
    while (System.currentTimeMillis() < until) {
      if (isReady(vm)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Sends a configuration to one control VM after the other until one acknowledges it. */
  int configure(String document, long version, long limitMillis) throws InterruptedException {
    long until = System.currentTimeMillis() + limitMillis;
    int status = 0;
    int next = ThreadLocalRandom.current().nextInt(controlVms.size());
    long pause = 50;
    while (System.currentTimeMillis() < until) {
      String vm = controlVms.get(next++ % controlVms.size());
      try {
        status = configureAt(vm, document);
        if (status == 200 || (status >= 400 && status < 500)) {
          return status;
        }
      } catch (IOException e) {
        status = 0;
      }
      Thread.sleep(pause);
      pause = Math.min(500, pause * 2);
    }
    return status;
  }

  int configureAt(String vm, String document) throws IOException {
    return status(
        HttpRequest.newBuilder(URI.create("http://" + control(vm) + "/v1/config/replace"))
            .header("Content-Type", "application/json")
            .timeout(Duration.ofSeconds(2))
            .POST(HttpRequest.BodyPublishers.ofString(document)));
  }

  int post(String address, String path, String body) throws IOException {
    return status(
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .header("Content-Type", "application/json")
            .timeout(Duration.ofSeconds(1))
            .POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  private int status(HttpRequest.Builder request) throws IOException {
    try {
      return http.send(
              request.timeout(Duration.ofSeconds(2)).build(), HttpResponse.BodyHandlers.discarding())
          .statusCode();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Ends all processes that this fleet started. */
  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    processes.values().forEach(process -> process.onExit().join());
  }

  private static String deployCommand() throws IOException {
    String toml = Files.readString(Path.of("deploy/system.toml"));
    int start = toml.indexOf("run = \"") + 7;
    return toml.substring(start, toml.indexOf('"', start));
  }

  private String settings(String vm, boolean bootstrap) throws IOException {
    boolean core = vm.startsWith("core");
    Map<String, String> values = new TreeMap<>();
    values.put("ip", ip(vm));
    values.put("node", vm);
    values.put("zone", zone(vm));
    values.put("region", REGIONS.get(zone(vm)));
    values.put("internalPorts.0", Integer.toString(port));
    values.put("dataDir", core ? dataFolder(vm).toString() : "");
    values.put("listenAddrs.front", core ? "" : ip(vm) + ":" + (port + 1));
    values.put("listenAddrs.readinessEndpoint", core ? "" : ip(vm) + ":" + (port + 2));
    values.put("listenAddrs.control", core ? control(vm) : "");
    values.put("seeds", String.join(",", controlVms.stream().limit(3).map(this::control).toList()));
    values.put("bounds.graceS", "6");
    values.put("cloud.address", platformAddress);
    String text = Files.readString(Path.of("deploy/settings.ini"));
    text = section(text, "bootstrap", bootstrap);
    text = section(text, "bounds.fencingEnabled", true);
    StringBuilder zones = new StringBuilder();
    REGIONS.forEach((zone, region) -> zones.append(zone + " = " + region + "\n"));
    text = text.replaceAll("(?s)\\{\\{#zones}}.*?\\{\\{/zones}}", zones.toString());
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    return text;
  }

  private static String section(String text, String name, boolean value) {
    String kept = value ? "#" : "\\^";
    String dropped = value ? "\\^" : "#";
    String quoted = java.util.regex.Pattern.quote(name);
    return text.replaceAll("\\{\\{" + dropped + quoted + "}}.*?\\{\\{/" + quoted + "}}", "")
        .replaceAll("\\{\\{" + kept + quoted + "}}(.*?)\\{\\{/" + quoted + "}}", "$1");
  }

  private static int random(int from, int to) {
    return ThreadLocalRandom.current().nextInt(from, to);
  }

  /** Returns the first of ten consecutive ports below the ephemeral range. */
  private static int freePort() throws IOException {
    for (int attempt = 0; attempt < 50; attempt++) {
      int candidate = random(12_000, 30_000);
      try (ServerSocket probe =
          new ServerSocket(candidate, 1, InetAddress.getByName("127.0.0.1"))) {
        return candidate;
      } catch (IOException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }
}
