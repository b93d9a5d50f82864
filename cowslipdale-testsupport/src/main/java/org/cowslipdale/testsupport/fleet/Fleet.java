package org.cowslipdale.testsupport.fleet;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.cowslipdale.testsupport.network.FaultNetwork;
import org.cowslipdale.testsupport.network.FaultNetwork.Route;

/**
 * Daemons and stand-in servers as processes on loopback.
 *
 * <p>Everything that crosses from one failure domain to another goes through {@link FaultNetwork}.
 */
public final class Fleet implements AutoCloseable {

  /** The administration token of every fleet. */
  public static final String ADMIN_TOKEN = "demo-admin-token-0001";

  private static final String ANNOUNCE_TOKEN = "demo-announce-token-1";
  private static final String CLUSTER_SECRET = "demo-cluster-secret-1";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(60);

  private final Path root;
  private final Path folder;
  private final Deployment deployment;
  private final String extraSettings;
  private final FaultNetwork network = new FaultNetwork();
  private final Map<String, Vm> vms = new LinkedHashMap<>();
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final HttpClient client = HttpClient.newHttpClient();

  /**
   * A VM of the fleet.
   *
   * @param spec where it runs
   * @param callerAddress its address for callers
   * @param adminAddress its address for operators
   * @param peerAddress its address for other VMs
   * @param settingsFile its settings file
   * @param dataFolder its data folder
   * @param process its process
   */
  public record Vm(
      Deployment.Vm spec,
      String callerAddress,
      String adminAddress,
      String peerAddress,
      Path settingsFile,
      Path dataFolder,
      ChildProcess process) {}

  /**
   * A backend server of the fleet.
   *
   * @param spec where it runs
   * @param address its address
   * @param runLog the file in which it writes what it ran
   * @param process its process
   */
  public record Server(Deployment.Server spec, String address, Path runLog, ChildProcess process) {}

  private record Addresses(String callerAddress, String adminAddress, String peerAddress) {}

  /**
   * Prepares a fleet; nothing runs yet.
   *
   * @param root the root of the repository, with built modules
   * @param folder where settings, data and logs are written
   * @param deployment the processes
   * @param extraSettings further lines of every settings file
   */
  public Fleet(Path root, Path folder, Deployment deployment, String extraSettings)
      throws IOException {
    this.root = root;
    this.folder = folder;
    this.deployment = deployment;
    this.extraSettings = extraSettings;
    Files.createDirectories(folder);
    prepareProcesses();
  }

  /** Returns the root of the repository, as the build or a script states it. */
  public static Path repositoryRoot() {
    return Path.of(System.getProperty("cowslipdale.root", "."));
  }

  /** Starts all processes and waits until every VM is ready. */
  public void start() throws IOException {
    for (Vm vm : vms.values()) {
      if (vm.spec().voter()) {
        initializeVoter(vm);
      }
    }
    for (Vm vm : vms.values()) {
      vm.process().start();
    }
    for (Server server : servers.values()) {
      server.process().start();
    }
    for (Vm vm : vms.values()) {
      awaitReady(vm);
    }
  }

  /** Returns a VM by name. */
  public Vm vm(String name) {
    return find(vms, name);
  }

  /** Returns all VMs. */
  public List<Vm> vms() {
    return List.copyOf(vms.values());
  }

  /** Returns a backend server by name. */
  public Server server(String name) {
    return find(servers, name);
  }

  /** Returns all backend servers. */
  public List<Server> servers() {
    return List.copyOf(servers.values());
  }

  /** Returns the network between failure domains. */
  public FaultNetwork network() {
    return network;
  }

  /** Returns the folder with settings, data and logs. */
  public Path folder() {
    return folder;
  }

  /** Waits until a VM reports that it is ready. */
  public void awaitReady(Vm vm) throws IOException {
    long limit = System.nanoTime() + START_TIMEOUT.toNanos();
    while (!isReady(vm)) {
      if (System.nanoTime() > limit || !vm.process().isAlive()) {
        throw new IOException(
            vm.spec().name() + " did not become ready:\n" + vm.process().output());
      }
      pause(50);
    }
  }

  /** Tells whether a VM reports that it is ready. */
  public boolean isReady(Vm vm) {
    return isOk(client, "http://" + vm.adminAddress() + "/health/ready");
  }

  /**
   * Tells whether a request for a page is answered with success within a second.
   *
   * @param client sends the request
   * @param url the address of the page
   */
  public static boolean isOk(HttpClient client, String url) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url)).timeout(Duration.ofSeconds(1)).build();
    try {
      return client.send(request, BodyHandlers.discarding()).statusCode() == 200;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Creates the data folder of a voter of a new fleet. */
  private void initializeVoter(Vm vm) throws IOException {
    List<String> args = List.of("--initialize", "--settings", vm.settingsFile().toString());
    ChildProcess process = new ChildProcess(daemonCommand(args), logFile(vm.spec().name()));
    process.start();
    if (process.await() != 0) {
      throw new IOException("cannot initialize " + vm.spec().name() + ":\n" + process.output());
    }
  }

  @Override
  public void close() {
    vms.values().forEach(vm -> vm.process().close());
    servers.values().forEach(server -> server.process().close());
    network.close();
    client.close();
  }

  private void prepareProcesses() throws IOException {
    Map<String, Addresses> addresses = new LinkedHashMap<>();
    List<String> free = Ports.findFreeAddresses(3 * deployment.vms().size() + deployment.servers().size());
    int next = 0;
    for (Deployment.Vm spec : deployment.vms()) {
      addresses.put(
          spec.name(), new Addresses(free.get(next++), free.get(next++), free.get(next++)));
    }
    Map<String, String> serverAddresses = new LinkedHashMap<>();
    for (Deployment.Server spec : deployment.servers()) {
      serverAddresses.put(spec.name(), free.get(next++));
    }
    for (Deployment.Vm spec : deployment.vms()) {
      prepareVm(spec, addresses, serverAddresses);
    }
    for (Deployment.Server spec : deployment.servers()) {
      prepareServer(spec, addresses, serverAddresses);
    }
  }

  private void prepareVm(
      Deployment.Vm spec, Map<String, Addresses> addresses, Map<String, String> serverAddresses)
      throws IOException {
    Addresses own = addresses.get(spec.name());
    Path data = folder.resolve(spec.name() + "-data");
    Path settings = folder.resolve(spec.name() + ".ini");
    String text =
        """
        [vm]
        name = %s
        failure-domain = %s
        region = %s
        %s

        [listen]
        callers = %s
        admin = %s
        peers = %s

        [control]
        voters = %s

        [secrets]
        cluster = %s
        admin-token = %s
        announce-token = %s

        %s

        [address-translation]
        %s
        """
            .formatted(
                spec.name(),
                spec.failureDomain(),
                spec.region(),
                spec.voter() ? "data-folder = " + data : "",
                own.callerAddress(),
                own.adminAddress(),
                own.peerAddress(),
                voters(addresses),
                CLUSTER_SECRET,
                ADMIN_TOKEN,
                ANNOUNCE_TOKEN,
                extraSettings,
                joinEntries(translations(spec.failureDomain(), addresses, serverAddresses), " = "));
    Files.writeString(settings, text, UTF_8);
    List<String> args = List.of("--settings", settings.toString());
    ChildProcess process = new ChildProcess(daemonCommand(args), logFile(spec.name()));
    vms.put(
        spec.name(),
        new Vm(spec, own.callerAddress(), own.adminAddress(), own.peerAddress(), settings, data, process));
  }

  private void prepareServer(
      Deployment.Server spec, Map<String, Addresses> addresses, Map<String, String> serverAddresses)
      throws IOException {
    String address = serverAddresses.get(spec.name());
    Path runLog = folder.resolve(spec.name() + ".runs");
    String announceTo =
        addresses.values().stream().map(Addresses::adminAddress).collect(Collectors.joining(","));
    List<String> args =
        new ArrayList<>(
            List.of(
                "--database",
                spec.database(),
                "--name",
                spec.name(),
                "--listen",
                address,
                "--failure-domain",
                spec.failureDomain(),
                "--region",
                spec.region(),
                "--announce-to",
                announceTo,
                "--announce-token",
                ANNOUNCE_TOKEN,
                "--data",
                folder.resolve(spec.name() + ".log-file").toString(),
                "--run-log",
                runLog.toString(),
                "--translate",
                translations(spec.failureDomain(), addresses, serverAddresses).entrySet().stream()
                    .map(entry -> entry.getKey() + "=" + entry.getValue())
                    .collect(Collectors.joining(","))));
    args.addAll(spec.options());
    List<String> command =
        ChildProcess.javaCommand(
            root, "testsupport", "org.cowslipdale.testsupport.database.StandInServer", "96m", args);
    servers.put(
        spec.name(),
        new Server(spec, address, runLog, new ChildProcess(command, logFile(spec.name()))));
  }

  private List<String> daemonCommand(List<String> args) throws IOException {
    return ChildProcess.javaCommand(
        root, "daemon", "org.cowslipdale.daemon.process.DaemonMain", "128m", args);
  }

  private Path logFile(String name) {
    return folder.resolve(name + ".log");
  }

  private String voters(Map<String, Addresses> addresses) {
    return deployment.vms().stream()
        .filter(Deployment.Vm::voter)
        .map(vm -> vm.name() + " " + addresses.get(vm.name()).peerAddress())
        .collect(Collectors.joining(", "));
  }

  /** Returns how every address in another failure domain is reached from one. */
  private Map<String, String> translations(
      String from, Map<String, Addresses> addresses, Map<String, String> serverAddresses) {
    Map<String, String> translations = new TreeMap<>();
    for (Deployment.Vm vm : deployment.vms()) {
      if (!vm.failureDomain().equals(from)) {
        Addresses target = addresses.get(vm.name());
        for (String address : List.of(target.peerAddress(), target.adminAddress())) {
          translations.put(address, network.proxyAddress(new Route(from, vm.failureDomain(), address)));
        }
      }
    }
    for (Deployment.Server server : deployment.servers()) {
      if (!server.failureDomain().equals(from)) {
        String address = serverAddresses.get(server.name());
        translations.put(
            address, network.proxyAddress(new Route(from, server.failureDomain(), address)));
      }
    }
    return translations;
  }

  private static String joinEntries(Map<String, String> map, String separator) {
    return map.entrySet().stream()
        .map(entry -> entry.getKey() + separator + entry.getValue())
        .collect(Collectors.joining("\n"));
  }

  private static <T> T find(Map<String, T> map, String name) {
    T found = map.get(name);
    if (found == null) {
      throw new IllegalArgumentException("no such process: " + name);
    }
    return found;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new UncheckedIOException(new IOException("interrupted", e));
    }
  }
}
