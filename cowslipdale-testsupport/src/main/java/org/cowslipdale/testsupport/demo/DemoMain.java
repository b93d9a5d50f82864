package org.cowslipdale.testsupport.demo;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cowslipdale.testsupport.demo.DemoScenario.StepResult;
import org.cowslipdale.testsupport.fleet.Deployment;
import org.cowslipdale.testsupport.fleet.Fleet;

/** Entry point of the demonstration. */
public final class DemoMain {

  private DemoMain() {}

  /**
   * Starts a fleet, runs the steps and prints a table of their results.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) throws IOException, InterruptedException {
    DemoOptions options = new DemoOptions();
    JCommander commander = JCommander.newBuilder().programName("demo").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("demo: " + e.getMessage());
      System.exit(2);
    }
    if (options.help) {
      commander.usage();
      return;
    }
    System.exit(run(options));
  }

  private static int run(DemoOptions options) throws IOException, InterruptedException {
    Path root = Fleet.repositoryRoot().toAbsolutePath();
    Path folder = root.resolve(options.folder);
    deleteFolder(folder);
    Deployment deployment =
        Deployment.threeDomains(2, List.of("bonds"), List.of("--connect-millis", "10"));
    String settings =
        """
        [limits]
        drain-wait = 500 ms

        [observability]
        trace-ratio = 1
        """;
    try (Fleet fleet = new Fleet(root, folder, deployment, settings)) {
      Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "shutdown"));
      System.out.println("starting 6 daemons and 3 database servers in 3 failure domains ...");
      fleet.start();
      DemoScenario scenario = new DemoScenario(fleet);
      List<StepResult> results = scenario.run();
      int ok = printResults(results);
      if (options.keepRunning) {
        keepRunning(fleet, scenario.key());
      }
      return ok == results.size() ? 0 : 1;
    }
  }

  private static int printResults(List<StepResult> results) {
    System.out.println();
    int number = 0;
    int ok = 0;
    for (StepResult result : results) {
      number++;
      ok += result.ok() ? 1 : 0;
      System.out.println(
          "%2d  %-44s %-7s %s"
              .formatted(number, result.name(), result.ok() ? "ok" : "FAILED", result.detail()));
    }
    System.out.println();
    System.out.println("demo: %d steps, %d ok".formatted(results.size(), ok));
    return ok;
  }

  private static void keepRunning(Fleet fleet, String key)
      throws IOException, InterruptedException {
    String servers =
        fleet.vms().stream().map(Fleet.Vm::adminAddress).collect(Collectors.joining(","));
    System.out.println(
        """

        The fleet keeps running until you press Enter or end this process. Try:
          export COWSLIPDALE_SERVER=%s
          export COWSLIPDALE_TOKEN=%s
          bin/cowslipdale status
          bin/cowslipdale show
          bin/cowslipdale history
          curl -H 'Authorization: Bearer %s' -d '{"statement":"get saver-1"}' \\
            http://%s/v1/databases/bonds/classes/own-holdings/statements
          curl http://%s/metrics
        """
            .formatted(
                servers,
                Fleet.ADMIN_TOKEN,
                key,
                fleet.vm("vm1").callerAddress(),
                fleet.vm("vm1").adminAddress()));
    if (System.in.read() < 0) {
      new CountDownLatch(1).await();
    }
  }

  private static void deleteFolder(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
