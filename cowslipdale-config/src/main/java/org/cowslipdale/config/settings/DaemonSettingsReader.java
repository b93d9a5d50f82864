package org.cowslipdale.config.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.ini.IniProblem;
import org.cowslipdale.config.ini.IniSection;
import org.cowslipdale.config.ini.SectionReader;
import org.cowslipdale.config.settings.DaemonSettings.Control;
import org.cowslipdale.config.settings.DaemonSettings.Limits;
import org.cowslipdale.config.settings.DaemonSettings.Listen;
import org.cowslipdale.config.settings.DaemonSettings.Observability;
import org.cowslipdale.config.settings.DaemonSettings.Policy;
import org.cowslipdale.config.settings.DaemonSettings.PromotionService;
import org.cowslipdale.config.settings.DaemonSettings.Secrets;
import org.cowslipdale.config.settings.DaemonSettings.Vm;
import org.cowslipdale.core.admission.QueuePolicy;
import org.cowslipdale.core.budget.ClientLimits;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.RoutingPolicy;
import org.cowslipdale.core.routing.WriteFencing;

/** Reads and validates the settings file of a daemon; reports all errors in one exception. */
public final class DaemonSettingsReader {

  private static final List<String> ALLOWED_SECTIONS =
      List.of(
          "vm",
          "listen",
          "control",
          "secrets",
          "limits",
          "observability",
          "policy",
          "regions",
          "promotion-service",
          "address-translation",
          "features");
  private static final List<String> REQUIRED_SECTIONS =
      List.of("vm", "listen", "control", "secrets");

  private final IniFile file;
  private final List<IniProblem> problems = new ArrayList<>();

  private DaemonSettingsReader(IniFile file) {
    this.file = file;
  }

  /**
   * Reads settings.
   *
   * @param file the parsed settings file
   * @throws IniException if a section, key or value is missing, unknown or not allowed
   */
  public static DaemonSettings read(IniFile file) throws IniException {
    return new DaemonSettingsReader(file).read();
  }

  private DaemonSettings read() throws IniException {
    checkSections();
    Vm vm = readVm();
    Listen listen = readListen();
    DaemonSettings settings =
        new DaemonSettings(
            vm,
            listen,
            readControl(vm, listen),
            readSecrets(),
            readLimits(),
            readObservability(),
            readPolicy(),
            readRegions(),
            readPromotionService(),
            readTranslations(),
            readFeatureNames());
    if (!problems.isEmpty()) {
      throw new IniException(problems);
    }
    return settings;
  }

  private void checkSections() {
    for (IniSection section : file.sections()) {
      if (!ALLOWED_SECTIONS.contains(section.title())) {
        String message =
            "unknown section [%s]; allowed: %s"
                .formatted(section.title(), String.join(", ", ALLOWED_SECTIONS));
        problems.add(
            new IniProblem(ResultCode.UNKNOWN_SECTION, file.name(), section.line(), message));
      }
    }
    for (String title : REQUIRED_SECTIONS) {
      if (file.sections().stream().noneMatch(section -> section.title().equals(title))) {
        String message = "section [%s] is missing".formatted(title);
        problems.add(new IniProblem(ResultCode.MISSING_KEY, file.name(), 0, message));
      }
    }
  }

  private Vm readVm() {
    SectionReader reader = reader("vm");
    String folder = reader.text("data-folder", "");
    String name = reader.nameOrAddress("name");
    Vm vm =
        new Vm(
            name,
            reader.text("label", name),
            reader.name("failure-domain"),
            reader.name("region"),
            folder.isEmpty() ? Optional.empty() : Optional.of(Path.of(folder)));
    reader.reportUnknownKeys();
    return vm;
  }

  private Listen readListen() {
    SectionReader reader = reader("listen");
    Optional<String> sessions = reader.optionalAddress("sessions");
    Optional<String> control = reader.optionalAddress("control");
    boolean usesAdapter = sessions.isPresent() || control.isPresent();
    Listen listen =
        new Listen(
            usesAdapter
                ? reader.optionalAddress("callers")
                : Optional.of(reader.address("callers")),
            sessions,
            reader.optionalAddress("readiness"),
            control,
            reader.address("admin"),
            reader.address("peers"));
    reader.reportUnknownKeys();
    return listen;
  }

  private Control readControl(Vm vm, Listen listen) {
    SectionReader reader = reader("control");
    List<String> seeds = readSeeds(reader, listen);
    boolean bootstrap = reader.flag("bootstrap", false);
    Map<String, String> voters = seeds.isEmpty() ? readVoters(reader, vm) : Map.of();
    if (!seeds.isEmpty() && !vm.name().equals(listen.peers())) {
      reader.reject("seeds", "the address of peers as the name in section [vm]");
    }
    reader.reportUnknownKeys();
    return new Control(voters, seeds, bootstrap);
  }

  /**
   * Reads the seeds and replaces their ports by the own peer port, because every VM listens for
   * peers on the same port.
   */
  private static List<String> readSeeds(SectionReader reader, Listen listen) {
    String port = listen.peers().substring(listen.peers().lastIndexOf(':') + 1);
    List<String> seeds = new ArrayList<>();
    for (String item : reader.text("seeds", "").split(",", -1)) {
      String seed = item.strip();
      if (SectionReader.isAddress(seed)) {
        seeds.add(seed.substring(0, seed.lastIndexOf(':') + 1) + port);
      } else if (!seed.isEmpty()) {
        reader.reject("seeds", "a list of addresses such as 10.0.0.1:7001, 10.0.0.2:7001");
      }
    }
    return seeds;
  }

  private static Map<String, String> readVoters(SectionReader reader, Vm vm) {
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
    return voters;
  }

  private Secrets readSecrets() {
    SectionReader reader = reader("secrets");
    boolean trustNetwork = reader.flag("trust-network", false);
    Secrets secrets =
        trustNetwork
            ? new Secrets(reader.text("cluster", ""), "", "", true)
            : new Secrets(
                reader.secret("cluster"),
                reader.secret("admin-token"),
                reader.secret("announce-token"),
                false);
    reader.reportUnknownKeys();
    return secrets;
  }

  /** Reads the names of features; unknown names are allowed, because adapters define their own. */
  private List<String> readFeatureNames() {
    SectionReader reader = reader("features");
    List<String> names =
        Stream.of(reader.text("enabled", "").split(","))
            .map(String::strip)
            .filter(name -> !name.isEmpty())
            .toList();
    reader.reportUnknownKeys();
    return names;
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
            reader.durationMillis("drain-limit", 30_000),
            reader.sizeBytes("max-held", 0),
            readClientLimits(reader));
    reader.reportUnknownKeys();
    return limits;
  }

  private static ClientLimits readClientLimits(SectionReader reader) {
    ClientLimits fallback = ClientLimits.DEFAULT;
    return new ClientLimits(
        (int) reader.number("max-pending", fallback.maxPending(), 1, fallback.maxPending()),
        reader.sizeBytes("max-pending-bytes", fallback.maxPendingBytes()),
        reader.durationMillis("message-timeout", fallback.messageMillis()),
        reader.durationMillis("write-timeout", fallback.writeMillis()),
        reader.durationMillis("hello-timeout", fallback.helloMillis()),
        reader.durationMillis("peer-hello-timeout", fallback.peerHelloMillis()),
        (int) reader.number("max-connections", fallback.maxConnections(), 16, 1_000_000));
  }

  private Observability readObservability() {
    SectionReader reader = reader("observability");
    Observability observability =
        new Observability(
            reader.oneOf("log-format", "plain", List.of("plain", "json")),
            reader.oneOf("log-level", "info", List.of("debug", "info", "warn", "error")),
            reader.decimal("trace-ratio", 0.01, 0, 1));
    reader.reportUnknownKeys();
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
    reader.reportUnknownKeys();
    return new Policy(routing, queue);
  }

  private Map<String, String> readRegions() {
    Map<String, String> regions = new LinkedHashMap<>();
    for (IniSection section : file.sections()) {
      if (section.title().equals("regions")) {
        SectionReader reader = new SectionReader(file.name(), section, problems);
        section.values().keySet().forEach(domain -> regions.put(domain, reader.name(domain)));
      }
    }
    return regions;
  }

  private Optional<PromotionService> readPromotionService() {
    SectionReader reader = reader("promotion-service");
    Optional<String> address = reader.optionalAddress("address");
    WriteFencing writeFencing =
        reader.oneOf("write-fencing", "lease", List.of("lease", "servers")).equals("servers")
            ? WriteFencing.BY_SERVERS
            : WriteFencing.BY_LEASE;
    reader.reportUnknownKeys();
    return address.map(found -> new PromotionService(found, writeFencing));
  }

  /** Reads the address translations; both keys and values are network addresses. */
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
    // A missing required section is already reported as a whole; its keys add no further errors.
    List<IniProblem> target = REQUIRED_SECTIONS.contains(title) ? new ArrayList<>() : problems;
    return new SectionReader(file.name(), new IniSection(title, 0, Map.of()), target);
  }
}
