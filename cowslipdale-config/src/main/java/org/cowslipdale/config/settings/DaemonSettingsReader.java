package org.cowslipdale.config.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.ini.IniProblem;
import org.cowslipdale.config.ini.IniSection;
import org.cowslipdale.config.ini.SectionReader;
import org.cowslipdale.config.settings.DaemonSettings.Limits;
import org.cowslipdale.config.settings.DaemonSettings.Listen;
import org.cowslipdale.config.settings.DaemonSettings.Observability;
import org.cowslipdale.config.settings.DaemonSettings.Policy;
import org.cowslipdale.config.settings.DaemonSettings.Secrets;
import org.cowslipdale.config.settings.DaemonSettings.Vm;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.RoutingPolicy;

/** Reads and checks the settings file of a daemon; reports all errors at once. */
public final class DaemonSettingsReader {

  private static final List<String> SECTIONS =
      List.of(
          "vm",
          "listen",
          "control",
          "secrets",
          "limits",
          "observability",
          "policy",
          "address-translation");
  private static final List<String> REQUIRED = List.of("vm", "listen", "control", "secrets");

  private final IniFile file;
  private final List<IniProblem> problems = new ArrayList<>();

  private DaemonSettingsReader(IniFile file) {
    this.file = file;
  }

  /**
   * Reads settings.
   *
   * @param file the parsed settings file
   * @throws IniException if anything is missing, unknown or not allowed
   */
  public static DaemonSettings read(IniFile file) throws IniException {
    return new DaemonSettingsReader(file).read();
  }

  private DaemonSettings read() throws IniException {
    checkSections();
    Vm vm = readVm();
    DaemonSettings settings =
        new DaemonSettings(
            vm,
            readListen(),
            readVoters(vm),
            readSecrets(),
            readLimits(),
            readObservability(),
            readPolicy(),
            readTranslations());
    if (!problems.isEmpty()) {
      throw new IniException(problems);
    }
    return settings;
  }

  private void checkSections() {
    for (IniSection section : file.sections()) {
      if (!SECTIONS.contains(section.title())) {
        String message =
            "unknown section [%s]; allowed: %s"
                .formatted(section.title(), String.join(", ", SECTIONS));
        problems.add(
            new IniProblem(ResultCode.UNKNOWN_SECTION, file.name(), section.line(), message));
      }
    }
    for (String title : REQUIRED) {
      if (file.sections().stream().noneMatch(section -> section.title().equals(title))) {
        String message = "section [%s] is missing".formatted(title);
        problems.add(new IniProblem(ResultCode.MISSING_KEY, file.name(), 0, message));
      }
    }
  }

  private Vm readVm() {
    SectionReader reader = reader("vm");
    String folder = reader.text("data-folder", "");
    Vm vm =
        new Vm(
            reader.name("name"),
            reader.name("failure-domain"),
            reader.name("region"),
            folder.isEmpty() ? Optional.empty() : Optional.of(Path.of(folder)));
    reader.finish();
    return vm;
  }

  private Listen readListen() {
    SectionReader reader = reader("listen");
    Listen listen =
        new Listen(reader.address("callers"), reader.address("admin"), reader.address("peers"));
    reader.finish();
    return listen;
  }

  private Map<String, String> readVoters(Vm vm) {
    SectionReader reader = reader("control");
    Map<String, String> voters = new LinkedHashMap<>();
    for (String item : reader.text("voters").split(",", -1)) {
      String[] parts = item.strip().split("\\s+", -1);
      boolean valid =
          parts.length == 2
              && SectionReader.isName(parts[0])
              && SectionReader.isAddress(parts[1])
              && voters.put(parts[0], parts[1]) == null;
      if (!valid) {
        reader.reject("voters", "a list such as vm1 127.0.0.1:7001, vm2 127.0.0.1:7002");
        break;
      }
    }
    if (voters.size() % 2 == 0) {
      reader.reject("voters", "an odd number of voters");
    }
    if (voters.containsKey(vm.name()) && vm.dataFolder().isEmpty()) {
      reader.reject("voters", "a data-folder in section [vm] on every voter");
    }
    reader.finish();
    return voters;
  }

  private Secrets readSecrets() {
    SectionReader reader = reader("secrets");
    Secrets secrets =
        new Secrets(
            reader.secret("cluster"),
            reader.secret("admin-token"),
            reader.secret("announce-token"));
    reader.finish();
    return secrets;
  }

  private Limits readLimits() {
    SectionReader reader = reader("limits");
    Limits limits =
        new Limits(
            (int) reader.number("event-loops", 2, 1, 64),
            reader.sizeBytes("max-body", 1 << 20),
            reader.sizeBytes("max-headers", 16 << 10),
            (int) reader.number("max-concurrent-requests", 10_000, 1, 1_000_000),
            (int) reader.number("max-queued", 1_000, 0, 100_000),
            reader.durationMillis("transaction", 30_000),
            reader.durationMillis("drain-wait", 2_000),
            reader.durationMillis("drain-limit", 30_000));
    reader.finish();
    return limits;
  }

  private Observability readObservability() {
    SectionReader reader = reader("observability");
    Observability observability =
        new Observability(
            reader.oneOf("log-format", "plain", List.of("plain", "json")),
            reader.oneOf("log-level", "info", List.of("debug", "info", "warn", "error")),
            reader.decimal("trace-ratio", 0.01, 0, 1));
    reader.finish();
    return observability;
  }

  private Policy readPolicy() {
    SectionReader reader = reader("policy");
    List<String> routings = List.of("nearest-replica", "primary-only", "round-robin");
    RoutingPolicy routing =
        switch (reader.oneOf("routing", "nearest-replica", routings)) {
          case "primary-only" -> new RoutingPolicy.PrimaryOnly();
          case "round-robin" -> new RoutingPolicy.RoundRobin();
          default -> new RoutingPolicy.NearestReplica();
        };
    QueuePolicy queue =
        reader.oneOf("queue", "fair", List.of("fair", "fifo")).equals("fifo")
            ? new QueuePolicy.Fifo()
            : new QueuePolicy.Fair();
    reader.finish();
    return new Policy(routing, queue);
  }

  /** Reads the section whose keys and values are addresses. */
  private Map<String, String> readTranslations() {
    Map<String, String> translations = new LinkedHashMap<>();
    for (IniSection section : file.sections()) {
      if (section.title().equals("address-translation")) {
        SectionReader reader = new SectionReader(file.name(), section, problems);
        for (String announced : section.values().keySet()) {
          if (!SectionReader.isAddress(announced)) {
            reader.reject(announced, "an address as key, such as 127.0.0.1:8080 = 127.0.0.1:9090");
          }
          translations.put(announced, reader.address(announced));
        }
      }
    }
    return translations;
  }

  private SectionReader reader(String title) {
    for (IniSection section : file.sections()) {
      if (section.title().equals(title)) {
        return new SectionReader(file.name(), section, problems);
      }
    }
    List<IniProblem> ignored = REQUIRED.contains(title) ? new ArrayList<>() : problems;
    return new SectionReader(file.name(), new IniSection(title, 0, Map.of()), ignored);
  }
}
