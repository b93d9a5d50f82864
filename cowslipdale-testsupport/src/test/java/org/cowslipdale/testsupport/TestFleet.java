package org.cowslipdale.testsupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.cowslipdale.testsupport.caller.AdminClient;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.cowslipdale.testsupport.fleet.Deployment;
import org.cowslipdale.testsupport.fleet.Fleet;

/**
 * A fleet of real processes with the configuration of the integration tests. Also reads the run
 * logs of the backend servers, against which tests check the replies to callers.
 */
final class TestFleet implements AutoCloseable {

  static final String DATABASE = "bonds";

  /**
   * The configuration of every fleet. The write classes differ in whether a statement may be
   * repeated and whether a replica must confirm it; each read class has another freshness.
   */
  static final String CONFIGURATION =
      """
      [database bonds]
      servers = 3

      [class saves]
      kind = write
      repeatable = no

      [class safe-saves]
      kind = write
      repeatable = no
      acknowledgement = replicated
      wait-limit = 1 s

      [class plain-saves]
      kind = write
      repeatable = yes
      wait-limit = 1 s

      [class own]
      kind = read
      freshness = session

      [class recent]
      kind = read
      freshness = bounded
      max-age = 6 s
      wait-limit = 500 ms

      [class latest]
      kind = read
      freshness = latest

      [class any]
      kind = read
      freshness = any

      [customer acme]
      rate = 5000
      burst = 5000
      databases = bonds

      [customer small]
      rate = 50
      burst = 20
      databases = bonds

      [open-route notice]
      database = bonds
      class = any
      statement = get notice
      rate = 100
      burst = 100
      """;

  private static final Duration MAX_CONFIGURATION_WAIT = Duration.ofSeconds(60);

  /** The errors after which an operator resends a change with its request id. */
  private static final Set<String> RESENT_CODES =
      Set.of("NO_LEADER", "CHANGE_OUTCOME_UNKNOWN", "NOT_IN_FORCE_YET");

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Fleet fleet;
  private final HttpClient client = HttpClient.newHttpClient();
  private final String key;

  private TestFleet(Fleet fleet) throws IOException {
    this.fleet = fleet;
    fleet.start();
    operator(1).awaitInForce(applyConfiguration(), "view");
    operator(1).awaitPrimary(DATABASE, "");
    this.key = operator(1).addKey("acme");
  }

  /**
   * Applies the configuration and returns its version, as an operator does who resends a change.
   */
  private long applyConfiguration() throws IOException {
    String requestId = UUID.randomUUID().toString();
    long deadlineNanos = System.nanoTime() + MAX_CONFIGURATION_WAIT.toNanos();
    while (true) {
      JsonNode result = operator(1).applyConfiguration(CONFIGURATION, 0, requestId);
      long version = result.path("version").asLong();
      if (version > 0) {
        return version;
      }
      boolean mayResend = RESENT_CODES.contains(result.path("name").asText());
      if (!mayResend || System.nanoTime() > deadlineNanos) {
        throw new IOException("the configuration was not applied: " + result);
      }
      pause(100);
    }
  }

  /** Starts one VM and one backend server in each of three failure domains. */
  static TestFleet start(Path folder, String... serverOptions) throws IOException {
    return start(folder, 1, serverOptions);
  }

  /** Starts the given number of VMs and one backend server in each of three failure domains. */
  static TestFleet start(Path folder, int vmsPerDomain, String... serverOptions)
      throws IOException {
    List<String> options = new ArrayList<>(List.of("--connect-millis", "1"));
    options.addAll(List.of(serverOptions));
    Deployment deployment = Deployment.threeDomains(vmsPerDomain, List.of(DATABASE), options);
    String extra =
        """
        [limits]
        drain-wait = 1 s
        transaction = 10 s
        """;
    Fleet fleet = new Fleet(Fleet.repositoryRoot(), folder, deployment, extra);
    try {
      return new TestFleet(fleet);
    } catch (IOException e) {
      fleet.close();
      throw e;
    }
  }

  Fleet fleet() {
    return fleet;
  }

  HttpClient client() {
    return client;
  }

  String key() {
    return key;
  }

  CallerSession newSession() {
    return new CallerSession(client, key);
  }

  AdminClient operator(int vm) {
    return new AdminClient(client, fleet.vm("vm" + vm).adminAddress(), Fleet.ADMIN_TOKEN);
  }

  String callerAddress(int vm) {
    return fleet.vm("vm" + vm).callerAddress();
  }

  /** Returns the number of the first VM in the failure domain of a backend server. */
  int vmInDomainOf(String server) {
    String domain = fleet.server(server).spec().failureDomain();
    for (Fleet.Vm vm : fleet.vms()) {
      if (vm.spec().failureDomain().equals(domain)) {
        return Integer.parseInt(vm.spec().name().substring(2));
      }
    }
    throw new IllegalStateException("no VM runs in the failure domain of this server");
  }

  /** Returns the numbers of the VMs outside the failure domain of a VM. */
  List<Integer> vmsOutsideDomainOf(int vm) {
    String domain = fleet.vm("vm" + vm).spec().failureDomain();
    List<Integer> others = new ArrayList<>();
    for (Fleet.Vm other : fleet.vms()) {
      if (!other.spec().failureDomain().equals(domain)) {
        others.add(Integer.parseInt(other.spec().name().substring(2)));
      }
    }
    return others;
  }

  /**
   * Sets the simulated faults of a backend server.
   *
   * @param faults the faults as a JSON object; faults that it does not name are switched off
   */
  void setFaults(String server, String faults) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + fleet.server(server).address() + "/faults"))
            .POST(BodyPublishers.ofString(faults))
            .build();
    try {
      client.send(request, BodyHandlers.discarding());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the complete entries of the run log of a backend server. */
  List<JsonNode> runLogEntries(String server) throws IOException {
    Path log = fleet.server(server).runLog();
    List<JsonNode> entries = new ArrayList<>();
    if (Files.exists(log)) {
      for (String line : Files.readAllLines(log)) {
        if (line.endsWith("}")) {
          entries.add(JSON.readTree(line));
        }
      }
    }
    return entries;
  }

  /** Returns how often a statement ran, over all backend servers. */
  long executionCount(String statement) throws IOException {
    long count = 0;
    for (Fleet.Server server : fleet.servers()) {
      for (JsonNode entry : runLogEntries(server.spec().name())) {
        boolean same = entry.path("statement").asText().equals(statement);
        count += same && entry.path("effect").asText().equals("ran") ? 1 : 0;
      }
    }
    return count;
  }

  /** Returns the statements that ran on at least one backend server. */
  Set<String> executedStatements() throws IOException {
    Set<String> statements = new HashSet<>();
    for (Fleet.Server server : fleet.servers()) {
      for (JsonNode entry : runLogEntries(server.spec().name())) {
        if (entry.path("effect").asText().equals("ran")) {
          statements.add(entry.path("statement").asText());
        }
      }
    }
    return statements;
  }

  /** Repeats a request until it succeeds or the time limit has passed; returns the last reply. */
  CallerReply retryUntilDone(Duration limit, Supplier<CallerReply> request) {
    long end = System.nanoTime() + limit.toNanos();
    CallerReply reply = request.get();
    while (!reply.isSuccessful() && System.nanoTime() < end) {
      reply = request.get();
    }
    return reply;
  }

  /**
   * Checks a condition every 20 ms until it holds.
   *
   * @return whether the condition held before the time limit had passed
   */
  static boolean await(Duration limit, BooleanSupplier condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        return false;
      }
      pause(20);
    }
    return true;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    fleet.close();
    client.close();
  }
}
