package org.cowslipdale.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.core.result.ResultCode;

/** Entry point of {@code cowslipdale}. */
public final class CliMain {

  private static final String VERSION = "0.1.0";
  private static final String EXAMPLES =
      """

        Examples:
          export COWSLIPDALE_SERVER=127.0.0.1:8201,127.0.0.1:8202
          export COWSLIPDALE_TOKEN=...
          cowslipdale status
          cowslipdale apply fleet.ini
          cowslipdale key-add acme
          cowslipdale --wait 20 key-withdraw 3f2a90b1c7de
          cowslipdale evacuate praha-a
          cowslipdale --json history
          cowslipdale explain 5fba634f65172a26 vm1.log vm2.log vm3.log

        Exit codes: 0 done, 1 refused, 2 wrong command line, 3 wrong file,
        4 no answer or outcome unknown, 5 not in force everywhere in time.
      """;

  private CliMain() {}

  /**
   * Runs one command.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) {
    ExitCode exit = run(args, System.out, System.err);
    System.exit(exit.number());
  }

  private static ExitCode run(String[] args, PrintStream out, PrintStream err) {
    Options options = new Options();
    Options.Apply apply = new Options.Apply();
    Options.KeyAdd keyAdd = new Options.KeyAdd();
    Options.KeyWithdraw keyWithdraw = new Options.KeyWithdraw();
    Options.VmRemove vmRemove = new Options.VmRemove();
    Options.Evacuate evacuate = new Options.Evacuate();
    Options.Watch watch = new Options.Watch();
    Options.Explain explain = new Options.Explain();
    JCommander commander =
        JCommander.newBuilder()
            .programName("cowslipdale")
            .addObject(options)
            .addCommand("apply", apply)
            .addCommand("show", new Options.Show())
            .addCommand("history", new Options.History())
            .addCommand("status", new Options.Status())
            .addCommand("key-add", keyAdd)
            .addCommand("key-withdraw", keyWithdraw)
            .addCommand("key-list", new Options.KeyList())
            .addCommand("vm-remove", vmRemove)
            .addCommand("evacuate", evacuate)
            .addCommand("drain", new Options.Drain())
            .addCommand("undrain", new Options.Undrain())
            .addCommand("watch", watch)
            .addCommand("explain", explain)
            .build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      err.println("cowslipdale: " + e.getMessage() + "; see --help");
      return ExitCode.USAGE;
    }
    if (options.version) {
      out.println("cowslipdale " + VERSION);
      return ExitCode.OK;
    }
    String command = commander.getParsedCommand();
    if (options.help || command == null) {
      StringBuilder usage = new StringBuilder();
      commander.getUsageFormatter().usage(usage);
      out.print(usage);
      out.print(EXAMPLES);
      return options.help ? ExitCode.OK : ExitCode.USAGE;
    }
    try {
      if (command.equals("explain")) {
        explain(explain, options, out);
        return ExitCode.OK;
      }
      Commands commands =
          new Commands(options, new AdminClient(servers(options), token(options)), out);
      switch (command) {
        case "apply" -> commands.apply(apply);
        case "show" -> commands.show();
        case "history" -> commands.history();
        case "status" -> commands.status();
        case "key-add" -> commands.keyAdd(keyAdd);
        case "key-withdraw" -> commands.keyWithdraw(keyWithdraw);
        case "key-list" -> commands.keyList();
        case "vm-remove" -> commands.vmRemove(vmRemove);
        case "evacuate" -> commands.evacuate(evacuate);
        case "drain" -> commands.drain(true);
        case "undrain" -> commands.drain(false);
        default -> commands.watch(watch);
      }
      return ExitCode.OK;
    } catch (CliException e) {
      err.println(
          "cowslipdale: error %d (%s): %s"
              .formatted(e.code().number(), e.code().name(), e.getMessage()));
      return e.exitCode();
    } catch (IniException e) {
      err.println(e.getMessage());
      return ExitCode.FILE;
    }
  }

  private static void explain(Options.Explain command, Options options, PrintStream out)
      throws CliException {
    if (command.idAndFiles.size() < 2) {
      throw usageError("explain needs the id of a request and at least one log file");
    }
    List<Path> files = command.idAndFiles.stream().skip(1).map(Path::of).toList();
    Duration around = Duration.ofSeconds(command.aroundSeconds);
    Explanation found = Explanation.read(command.idAndFiles.getFirst(), files, around);
    if (options.json) {
      found.timeline().forEach(line -> out.println(toJson(line)));
      return;
    }
    for (DecisionLine line : found.timeline()) {
      out.println((found.requestLines().contains(line) ? "> " : "  ") + line);
    }
  }

  private static String toJson(DecisionLine line) {
    try {
      return Codecs.json().writeValueAsString(line);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a log line as JSON", e);
    }
  }

  private static List<String> servers(Options options) throws CliException {
    if (!options.servers.isEmpty()) {
      return options.servers;
    }
    String variable = System.getenv("COWSLIPDALE_SERVER");
    if (variable == null || variable.isBlank()) {
      throw usageError("give --server or set COWSLIPDALE_SERVER");
    }
    return Arrays.stream(variable.split(",", -1)).map(String::strip).toList();
  }

  private static String token(Options options) throws CliException {
    if (!options.tokenFile.isEmpty()) {
      try {
        return Files.readString(Path.of(options.tokenFile)).strip();
      } catch (IOException e) {
        throw usageError("cannot read the token file: " + e.getMessage());
      }
    }
    String variable = System.getenv("COWSLIPDALE_TOKEN");
    if (variable == null || variable.isBlank()) {
      throw usageError("give --token-file or set COWSLIPDALE_TOKEN");
    }
    return variable;
  }

  private static CliException usageError(String message) {
    return new CliException(ExitCode.USAGE, ResultCode.BAD_REQUEST, message, null);
  }
}
