package org.cowslipdale.testsupport.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.cowslipdale.testsupport.caller.AdminClient;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.cowslipdale.testsupport.fleet.Deployment;
import org.cowslipdale.testsupport.fleet.Fleet;

/** Entry point of the benchmarks, which run daemons and stand-in servers on loopback. */
public final class BenchMain {

  private static final String DATABASE = "bonds";
  private static final String CONFIGURATION =
      """
      [database bonds]
      servers = 3

      [class reads]
      kind = read
      freshness = bounded
      max-age = 5 s

      [class writes]
      kind = write
      repeatable = yes

      [customer acme]
      rate = 1000000
      burst = 1000000
      databases = bonds
      """;

  private final HttpClient client = HttpClient.newHttpClient();
  private final BenchOptions options;

  private BenchMain(BenchOptions options) {
    this.options = options;
  }

  /**
   * Runs one benchmark.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) throws IOException {
    BenchOptions options = new BenchOptions();
    JCommander commander = JCommander.newBuilder().programName("bench").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("bench: " + e.getMessage());
      System.exit(2);
    }
    if (options.help || options.benchmarks.size() != 1) {
      commander.usage();
      System.exit(options.help ? 0 : 2);
    }
    BenchMain bench = new BenchMain(options);
    switch (options.benchmarks.getFirst()) {
      case "latency" -> bench.measureLatency();
      case "throughput" -> bench.measureThroughput();
      case "control" -> bench.measureControlTraffic();
      case "failover" -> bench.measureFailover();
      default -> {
        commander.usage();
        System.exit(2);
      }
    }
  }

  /** Compares reads through one daemon with the same reads sent directly to a stand-in server. */
  private void measureLatency() throws IOException {
    try (Fleet fleet = startFleet(Deployment.threeDomains(1, List.of(DATABASE), List.of()));
        LoadGenerator load = new LoadGenerator(16)) {
      RequestOptions proxied = proxiedRequest(fleet, addKey(fleet));
      RequestOptions direct =
          new RequestOptions()
              .setAbsoluteURI("http://" + fleet.server("bonds-1").address() + "/statement");
      String call =
          """
          {"call":"b","term":1,"asPrimary":false,"minOffset":0,"waitMillis":0,\
          "maxAgeMillis":5000,"write":false,"statement":"get a"}\
          """;
      String statement = "{\"statement\":\"get a\"}";
      load.run(proxied, statement, 500, 5);
      load.run(direct, call, 500, 5);
      System.out.println("latency at 200 reads/s, open loop, in microseconds");
      printResult("direct", load.run(direct, call, 200, options.seconds));
      printResult("proxied", load.run(proxied, statement, 200, options.seconds));
      printResult("direct", load.run(direct, call, 200, options.seconds));
      printResult("proxied", load.run(proxied, statement, 200, options.seconds));
    }
  }

  /** Sends reads to one daemon at each of the given rates. */
  private void measureThroughput() throws IOException {
    Deployment deployment =
        Deployment.threeDomains(1, List.of(DATABASE), List.of("--connection-limit", "120"));
    try (Fleet fleet = startFleet(deployment);
        LoadGenerator load = new LoadGenerator(64)) {
      RequestOptions proxied = proxiedRequest(fleet, addKey(fleet));
      String statement = "{\"statement\":\"get a\"}";
      load.run(proxied, statement, 3_000, 10);
      long pid = fleet.vm("vm1").process().pid();
      for (int rate : options.rates) {
        ProcessStats before = ProcessStats.read(pid);
        LoadGenerator.Result result = load.run(proxied, statement, rate, options.seconds);
        ProcessStats after = ProcessStats.read(pid);
        double cores = (after.cpuMillis() - before.cpuMillis()) / (1_000.0 * options.seconds);
        System.out.printf(
            "offered %6d/s, daemon used %.2f cores, %d MiB resident%n",
            rate, cores, after.residentBytes() >> 20);
        printResult("proxied", result);
      }
    }
  }

  /**
   * Measures the traffic between idle VMs, and their processor time and memory, at four fleet
   * sizes.
   */
  private void measureControlTraffic() throws IOException {
    System.out.println(
        "VMs   sent/VM     sent by leader   CPU/VM      CPU of leader   resident/VM");
    for (int perDomain = 1; perDomain <= 4; perDomain++) {
      try (Fleet fleet =
          startFleet(Deployment.threeDomains(perDomain, List.of(DATABASE), List.of()))) {
        pause(8_000);
        String leader = adminClient(fleet).status().path("leader").asText();
        List<Sample> before = takeSamples(fleet);
        pause(options.seconds * 1_000L);
        printControlTraffic(leader, before, takeSamples(fleet));
      }
    }
  }

  private record Sample(String vm, double sentBytes, ProcessStats processStats) {}

  private List<Sample> takeSamples(Fleet fleet) throws IOException {
    List<Sample> samples = new ArrayList<>();
    for (Fleet.Vm vm : fleet.vms()) {
      samples.add(
          new Sample(
              vm.spec().name(),
              sumOfMetric(vm, "cowslipdale_peer_sent_bytes_total"),
              ProcessStats.read(vm.process().pid())));
    }
    return samples;
  }

  private void printControlTraffic(String leader, List<Sample> before, List<Sample> after) {
    double sent = 0;
    double sentByLeader = 0;
    double cpu = 0;
    double cpuOfLeader = 0;
    double resident = 0;
    for (int i = 0; i < before.size(); i++) {
      double bytesPerSecond =
          (after.get(i).sentBytes() - before.get(i).sentBytes()) / options.seconds;
      double cpuPercent =
          (after.get(i).processStats().cpuMillis() - before.get(i).processStats().cpuMillis())
              / (10.0 * options.seconds);
      sent += bytesPerSecond;
      cpu += cpuPercent;
      resident += after.get(i).processStats().residentBytes() / (double) (1 << 20);
      if (before.get(i).vm().equals(leader)) {
        sentByLeader = bytesPerSecond;
        cpuOfLeader = cpuPercent;
      }
    }
    int vms = before.size();
    System.out.printf(
        "%3d   %6.0f B/s   %6.0f B/s        %5.2f %%     %5.2f %%         %4.0f MiB%n",
        vms, sent / vms, sentByLeader, cpu / vms, cpuOfLeader, resident / vms);
  }

  /** Kills the primary repeatedly and measures how long writes fail. */
  private void measureFailover() throws IOException {
    try (Fleet fleet = startFleet(Deployment.threeDomains(2, List.of(DATABASE), List.of()))) {
      CallerSession session = new CallerSession(client, addKey(fleet));
      List<Long> gaps = new ArrayList<>();
      for (int round = 0; round < options.rounds; round++) {
        String previous = adminClient(fleet).awaitPrimary(DATABASE, "");
        write(fleet, session);
        fleet.server(previous).process().kill();
        long started = System.nanoTime();
        while (!write(fleet, session).isSuccessful()) {
          pause(5);
        }
        gaps.add((System.nanoTime() - started) / 1_000_000);
        fleet.server(previous).process().start();
        pause(5_000);
      }
      gaps.sort(null);
      System.out.printf(
          "%d failovers: median %d ms, maximum %d ms, all %s%n",
          gaps.size(), gaps.get(gaps.size() / 2), gaps.getLast(), gaps);
    }
  }

  private static CallerReply write(Fleet fleet, CallerSession session) {
    return session.run(fleet.vm("vm1").callerAddress(), DATABASE, "writes", "put gap 1");
  }

  private Fleet startFleet(Deployment deployment) throws IOException {
    Path root = Fleet.repositoryRoot().toAbsolutePath();
    Path folder = Files.createTempDirectory(Files.createDirectories(root.resolve("run")), "bench");
    Fleet fleet = new Fleet(root, folder, deployment, "[observability]\ntrace-ratio = 0\n");
    try {
      fleet.start();
      JsonNode applied =
          adminClient(fleet).applyConfiguration(CONFIGURATION, 0, UUID.randomUUID().toString());
      adminClient(fleet).awaitInForce(applied.path("version").asLong(), "view");
      adminClient(fleet).awaitPrimary(DATABASE, "");
      return fleet;
    } catch (IOException e) {
      fleet.close();
      throw e;
    }
  }

  private String addKey(Fleet fleet) throws IOException {
    return adminClient(fleet).addKey("acme");
  }

  private AdminClient adminClient(Fleet fleet) {
    return new AdminClient(client, fleet.vm("vm1").adminAddress(), Fleet.ADMIN_TOKEN);
  }

  private static RequestOptions proxiedRequest(Fleet fleet, String key) {
    return new RequestOptions()
        .setAbsoluteURI(
            "http://%s/v1/databases/bonds/classes/reads/statements"
                .formatted(fleet.vm("vm1").callerAddress()))
        .putHeader("Authorization", "Bearer " + key);
  }

  /** Returns the sum of a counter over all values of its labels. */
  private double sumOfMetric(Fleet.Vm vm, String name) throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + vm.adminAddress() + "/metrics")).build();
    try {
      String text = client.send(request, BodyHandlers.ofString()).body();
      return text.lines()
          .filter(line -> line.startsWith(name + "{"))
          .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' ') + 1)))
          .sum();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  private static void printResult(String name, LoadGenerator.Result result) {
    System.out.printf(
        "  %-8s p50 %6d  p90 %6d  p99 %6d  max %7d   ok %d  failed %d%s%n",
        name,
        result.latency().getValueAtPercentile(50),
        result.latency().getValueAtPercentile(90),
        result.latency().getValueAtPercentile(99),
        result.latency().getMaxValue(),
        result.succeeded(),
        result.failed(),
        result.onSchedule() ? "" : "   (invalid: the load generator was behind its schedule)");
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
