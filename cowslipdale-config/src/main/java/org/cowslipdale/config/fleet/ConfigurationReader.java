package org.cowslipdale.config.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.ini.IniProblem;
import org.cowslipdale.config.ini.IniSection;
import org.cowslipdale.config.ini.SectionReader;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.Acknowledgement;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.OpenRoute;
import org.cowslipdale.core.view.WorkClass;

/**
 * Reads the configuration file that operators apply to the fleet; reports all errors at once.
 *
 * <p>The sections are {@code [database NAME]}, {@code [class NAME]}, {@code [customer NAME]} and
 * {@code [open-route NAME]}.
 */
public final class ConfigurationReader {

  private static final List<String> SECTION_KINDS = List.of("database", "class", "customer", "open-route");
  private static final long MAX_SERVERS = 99;
  private static final double MAX_RATE = 100_000_000;

  private final IniFile file;
  private final List<IniProblem> problems = new ArrayList<>();
  private final Map<String, WorkClass> classes = new HashMap<>();
  private final Map<String, Customer> customers = new HashMap<>();
  private final Map<String, OpenRoute> openRoutes = new HashMap<>();
  private final Map<String, Database> databases = new HashMap<>();

  private ConfigurationReader(IniFile file) {
    this.file = file;
  }

  /**
   * Reads a configuration.
   *
   * @param file the parsed file
   * @throws IniException if anything is missing, unknown, not allowed or contradictory
   */
  public static Configuration read(IniFile file) throws IniException {
    return new ConfigurationReader(file).read();
  }

  private Configuration read() throws IniException {
    for (IniSection section : file.sections()) {
      if (!SECTION_KINDS.contains(section.kind()) || !SectionReader.isName(section.label())) {
        problems.add(unknownSection(section));
        continue;
      }
      SectionReader reader = new SectionReader(file.name(), section, problems);
      readSection(section, reader);
      reader.reportUnknownKeys();
    }
    if (!problems.isEmpty()) {
      throw new IniException(problems);
    }
    Configuration configuration = new Configuration(classes, customers, openRoutes, databases);
    List<String> contradictions = configuration.validationErrors();
    if (!contradictions.isEmpty()) {
      throw new IniException(
          contradictions.stream()
              .map(text -> new IniProblem(ResultCode.BAD_VALUE, file.name(), 0, text))
              .toList());
    }
    return configuration;
  }

  private void readSection(IniSection section, SectionReader reader) {
    String name = section.label();
    switch (section.kind()) {
      case "database" ->
          databases.put(
              name, new Database(name, (int) reader.number("servers", 3, 1, MAX_SERVERS)));
      case "class" -> classes.put(name, readClass(name, reader));
      case "customer" ->
          customers.put(
              name,
              new Customer(
                  name, rate(reader), burst(reader), Set.copyOf(reader.names("databases"))));
      default ->
          openRoutes.put(
              name,
              new OpenRoute(
                  name,
                  reader.name("database"),
                  reader.name("class"),
                  reader.text("statement"),
                  rate(reader),
                  burst(reader)));
    }
  }

  private static WorkClass readClass(String name, SectionReader reader) {
    boolean readOnly = reader.oneOf("kind", "write", List.of("read", "write")).equals("read");
    boolean repeatable = reader.flag("repeatable", readOnly);
    if (readOnly && !repeatable) {
      reader.reject("repeatable", "yes, because reads are always repeatable");
    }
    return new WorkClass(
        name,
        readOnly,
        repeatable,
        readFreshness(reader),
        reader
                .oneOf("acknowledgement", "primary", List.of("primary", "replicated"))
                .equals("replicated")
            ? Acknowledgement.REPLICATED
            : Acknowledgement.PRIMARY,
        reader.durationMillis("wait-limit", 2_000),
        reader.durationMillis("run-limit", 5_000));
  }

  private static Freshness readFreshness(SectionReader reader) {
    List<String> words = List.of("latest", "session", "bounded", "any");
    String word = reader.oneOf("freshness", "session", words);
    long maxAge = reader.durationMillis("max-age", 0);
    if (word.equals("bounded") && maxAge == 0) {
      reader.reject("max-age", "a duration such as 5 s, because freshness = bounded");
    }
    return switch (word) {
      case "latest" -> new Freshness.Latest();
      case "bounded" -> new Freshness.BoundedAge(maxAge);
      case "any" -> new Freshness.AnyAge();
      default -> new Freshness.Session();
    };
  }

  private static double rate(SectionReader reader) {
    return reader.decimal("rate", 100, 0.001, MAX_RATE);
  }

  private static long burst(SectionReader reader) {
    return reader.number("burst", 100, 1, (long) MAX_RATE);
  }

  private IniProblem unknownSection(IniSection section) {
    String message =
        "unknown section [%s]; allowed: [database NAME], [class NAME], [customer NAME], [open-route NAME] with names of lower-case letters, digits and dashes"
            .formatted(section.title());
    return new IniProblem(ResultCode.UNKNOWN_SECTION, file.name(), section.line(), message);
  }
}
