package org.cowslipdale.cli;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Function;
import org.cowslipdale.config.fleet.ConfigurationReader;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.protocol.AdminMessages.ConfigurationBody;
import org.cowslipdale.config.protocol.AdminMessages.ConfigurationUpdate;
import org.cowslipdale.config.protocol.AdminMessages.DatabaseStatus;
import org.cowslipdale.config.protocol.AdminMessages.DrainBody;
import org.cowslipdale.config.protocol.AdminMessages.EvacuationOrder;
import org.cowslipdale.config.protocol.AdminMessages.HistoryBody;
import org.cowslipdale.config.protocol.AdminMessages.InForceBody;
import org.cowslipdale.config.protocol.AdminMessages.KeyAddition;
import org.cowslipdale.config.protocol.AdminMessages.KeyInfo;
import org.cowslipdale.config.protocol.AdminMessages.KeyList;
import org.cowslipdale.config.protocol.AdminMessages.Removal;
import org.cowslipdale.config.protocol.AdminMessages.ServerInfo;
import org.cowslipdale.config.protocol.AdminMessages.StatusBody;
import org.cowslipdale.config.protocol.AdminMessages.VmStatus;
import org.cowslipdale.core.control.ChangeRecord;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.ApiKey;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.ConfigurationChange;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.KeyDigester;
import org.cowslipdale.core.view.OpenRoute;
import org.cowslipdale.core.view.WorkClass;

/** Executes the commands of the tool. */
final class Commands {

  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final int KEY_ID_BYTES = 6;
  private static final int SECRET_BYTES = 24;
  private static final int SALT_BYTES = 16;

  private final Options options;
  private final AdminClient client;
  private final PrintStream out;
  private final SecureRandom random = new SecureRandom();

  Commands(Options options, AdminClient client, PrintStream out) {
    this.options = requireNonNull(options, "options");
    this.client = requireNonNull(client, "client");
    this.out = requireNonNull(out, "out");
  }

  /** The result of a change as it is printed. */
  private record ChangeOutput(ChangeRecord change, boolean inForce, long inForceMillis) {}

  /** The result of adding a key as it is printed. */
  private record KeyOutput(String id, String key, ChangeRecord change) {}

  void apply(Options.Apply command) throws CliException, IniException {
    Configuration requested = ConfigurationReader.read(IniFile.read(Path.of(command.file)));
    ConfigurationBody current = fetchConfiguration();
    if (command.dryRun) {
      print(current.configuration().changeTo(requested), Commands::describe);
      return;
    }
    long expected = command.expect >= 0 ? command.expect : current.configurationVersion();
    sendChange(
        "PUT",
        "/v1/admin/configuration",
        new ConfigurationUpdate(requestId(), expected, requested),
        "view");
  }

  void show() throws CliException {
    print(fetchConfiguration(), Commands::describe);
  }

  void history() throws CliException {
    HistoryBody history = client.get("/v1/admin/history", HistoryBody.class);
    print(history, Commands::describe);
  }

  void status() throws CliException {
    print(client.get("/v1/admin/status", StatusBody.class), Commands::describe);
  }

  void keyAdd(Options.KeyAdd command) throws CliException {
    String id = HexFormat.of().formatHex(randomBytes(KEY_ID_BYTES));
    String secret =
        Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes(SECRET_BYTES));
    String salt = HexFormat.of().formatHex(randomBytes(SALT_BYTES));
    ApiKey key = KeyDigester.digest(id, command.customer, salt, secret);
    ChangeRecord result =
        client.send(
            "POST", "/v1/admin/keys", new KeyAddition(requestId(), key), ChangeRecord.class);
    awaitInForce(result.version(), "view");
    print(
        new KeyOutput(id, KeyDigester.format(id, secret), result),
        output -> "key id: %s%nkey:    %s%n".formatted(output.id(), output.key()));
  }

  void keyWithdraw(Options.KeyWithdraw command) throws CliException {
    Removal removal = new Removal(requestId(), command.keyId);
    sendChange("POST", "/v1/admin/keys/withdraw", removal, "keys");
  }

  void keyList() throws CliException {
    print(client.get("/v1/admin/keys", KeyList.class), Commands::describe);
  }

  void vmRemove(Options.VmRemove command) throws CliException {
    sendChange("POST", "/v1/admin/vms/remove", new Removal(requestId(), command.vm), "view");
  }

  void evacuate(Options.Evacuate command) throws CliException {
    sendChange(
        "POST",
        command.end ? "/v1/admin/evacuations/finish" : "/v1/admin/evacuations/start",
        new EvacuationOrder(command.failureDomain),
        "view");
  }

  void drain(boolean drained) throws CliException {
    DrainBody result =
        client.send("POST", "/v1/admin/drain", new DrainBody(drained), DrainBody.class);
    print(result, body -> body.drained() ? "drained\n" : "serving\n");
  }

  void watch(Options.Watch command) throws CliException {
    long millis = awaitInForce(command.version, "view");
    print(
        new InForceBody(command.version, true, List.of()),
        body -> "version %d is in force everywhere (%d ms)%n".formatted(body.version(), millis));
  }

  private void sendChange(String method, String path, Object body, String kind)
      throws CliException {
    ChangeRecord result = client.send(method, path, body, ChangeRecord.class);
    if (options.waitSeconds == 0) {
      print(new ChangeOutput(result, false, 0), output -> result.message() + "\n");
      return;
    }
    long millis = awaitInForce(result.version(), kind);
    print(
        new ChangeOutput(result, true, millis),
        output ->
            "%s%nIn force everywhere after %d ms (view version %d).%n"
                .formatted(result.message(), output.inForceMillis(), result.version()));
  }

  /**
   * Polls until a version of the view is in force on all VMs.
   *
   * @return the time waited, in milliseconds
   */
  private long awaitInForce(long version, String kind) throws CliException {
    long startedNanos = System.nanoTime();
    long limitMillis = options.waitSeconds * 1_000L;
    while (true) {
      InForceBody status =
          client.get(
              "/v1/admin/in-force?version=%d&kind=%s".formatted(version, kind), InForceBody.class);
      long elapsedMillis = (System.nanoTime() - startedNanos) / 1_000_000;
      if (status.inForce()) {
        return elapsedMillis;
      }
      if (elapsedMillis >= limitMillis) {
        throw new CliException(
            ExitCode.NOT_IN_FORCE,
            ResultCode.NOT_IN_FORCE_YET,
            "version %d is accepted, but not in force on: %s"
                .formatted(version, String.join(", ", status.waitingFor())),
            null);
      }
      pause();
    }
  }

  private ConfigurationBody fetchConfiguration() throws CliException {
    return client.get("/v1/admin/configuration", ConfigurationBody.class);
  }

  private String requestId() {
    return options.requestId.isEmpty() ? UUID.randomUUID().toString() : options.requestId;
  }

  private byte[] randomBytes(int count) {
    byte[] bytes = new byte[count];
    random.nextBytes(bytes);
    return bytes;
  }

  private <T> void print(T value, Function<T, String> text) {
    if (options.json) {
      out.println(AdminClient.toTree(value).toPrettyString());
    } else {
      out.print(text.apply(value));
    }
  }

  private static String describe(ConfigurationChange change) {
    Table table = new Table("KIND", "NAME", "CHANGE");
    change.putDatabases().forEach(item -> table.addRow("database", item.name(), "put"));
    change.removeDatabases().forEach(name -> table.addRow("database", name, "remove"));
    change.putClasses().forEach(item -> table.addRow("class", item.name(), "put"));
    change.removeClasses().forEach(name -> table.addRow("class", name, "remove"));
    change.putCustomers().forEach(item -> table.addRow("customer", item.name(), "put"));
    change.removeCustomers().forEach(name -> table.addRow("customer", name, "remove"));
    change.putOpenRoutes().forEach(item -> table.addRow("open-route", item.name(), "put"));
    change.removeOpenRoutes().forEach(name -> table.addRow("open-route", name, "remove"));
    return table.toString();
  }

  private static String describe(ConfigurationBody body) {
    Configuration configuration = body.configuration();
    Table databases = new Table("DATABASE", "SERVERS");
    for (Database item : new TreeMap<>(configuration.databases()).values()) {
      databases.addRow(item.name(), item.servers());
    }
    Table classes =
        new Table("CLASS", "KIND", "REPEATABLE", "FRESHNESS", "ACKNOWLEDGEMENT", "WAIT", "RUN");
    for (WorkClass item : new TreeMap<>(configuration.classes()).values()) {
      classes.addRow(
          item.name(),
          item.readOnly() ? "read" : "write",
          item.repeatable() ? "yes" : "no",
          item.freshness(),
          item.acknowledgement(),
          item.waitLimitMillis() + " ms",
          item.runLimitMillis() + " ms");
    }
    Table customers = new Table("CUSTOMER", "RATE/S", "BURST", "DATABASES");
    for (Customer item : new TreeMap<>(configuration.customers()).values()) {
      customers.addRow(
          item.name(), item.ratePerSecond(), item.burst(), String.join(", ", item.databases()));
    }
    Table routes = new Table("OPEN ROUTE", "DATABASE", "CLASS", "RATE/S", "STATEMENT");
    for (OpenRoute item : new TreeMap<>(configuration.openRoutes()).values()) {
      routes.addRow(
          item.name(), item.database(), item.workClass(), item.ratePerSecond(), item.statement());
    }
    return "configuration version %d%n%n%s%n%s%n%s%n%s"
        .formatted(body.configurationVersion(), databases, classes, customers, routes);
  }

  private static String describe(HistoryBody history) {
    Table table = new Table("TIME", "RESULT", "VIEW", "REQUEST ID", "MESSAGE");
    for (ChangeRecord change : history.changes()) {
      table.addRow(
          Instant.ofEpochMilli(change.proposedAtMillis()),
          change.code(),
          change.version(),
          change.requestId(),
          change.message());
    }
    return table.toString();
  }

  private static String describe(KeyList keys) {
    Table table = new Table("KEY ID", "CUSTOMER");
    for (KeyInfo key : keys.keys()) {
      table.addRow(key.id(), key.customer());
    }
    return table.toString();
  }

  private static String describe(StatusBody status) {
    Table vms = new Table("VM", "FAILURE DOMAIN", "REGION", "PEER ADDRESS", "LEASE", "LEADER");
    for (VmStatus vm : status.vms()) {
      vms.addRow(
          vm.name(),
          vm.failureDomain(),
          vm.region(),
          vm.peerAddress(),
          vm.holdsLease() ? "valid" : "none",
          vm.name().equals(status.leader()) ? "*" : "");
    }
    Table servers =
        new Table("DATABASE", "SERVER", "FAILURE DOMAIN", "ROLE", "TERM", "OFFSET", "AGE");
    for (DatabaseStatus database : status.databases()) {
      for (ServerInfo server : database.servers()) {
        boolean primary = server.name().equals(database.primary());
        String role = primary ? "primary" : server.leaving() ? "leaving" : "replica";
        servers.addRow(
            database.name(),
            server.name(),
            server.failureDomain(),
            role,
            server.term(),
            server.offset(),
            server.ageMillis() + " ms");
      }
    }
    String evacuated =
        status.evacuatedDomains().isEmpty()
            ? ""
            : "evacuated failure domains: %s%n"
                .formatted(String.join(", ", status.evacuatedDomains()));
    return "answered by %s, view version %d, lease valid for %d ms, control leader %s%n%s%n%s%n%s"
        .formatted(
            status.vm(),
            status.version(),
            status.leaseMillis(),
            status.leader() == null ? "unknown" : status.leader(),
            evacuated,
            vms,
            servers);
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
