package org.cowslipdale.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.cowslipdale.core.result.ResultCode;

/**
 * What the decision logs of several VMs tell of one request, in one order of time: its own lines,
 * and what the VMs decided or came to believe around it.
 *
 * @param requestLines the lines of the request
 * @param timeline the lines of the request and those around it
 */
record Explanation(List<DecisionLine> requestLines, List<DecisionLine> timeline) {

  /**
   * Reads log files.
   *
   * @param id the id of the request
   * @param files the log files
   * @param around how long before and after the request other lines count
   * @throws CliException if a file cannot be read or none knows the request
   */
  static Explanation read(String id, List<Path> files, Duration around) throws CliException {
    List<DecisionLine> own = select(files, line -> line.isForRequest(id));
    if (own.isEmpty()) {
      throw new CliException(
          ExitCode.REFUSED,
          ResultCode.NOT_FOUND,
          "no line of request " + id + "; of successes, one request in fifty is logged",
          null);
    }
    Instant from = own.getFirst().at().minus(around);
    Instant until = own.getLast().at().plus(around);
    String customer = field(own, "customer");
    String database = field(own, "database");
    List<DecisionLine> all =
        select(
            files,
            line ->
                line.isForRequest(id)
                    || (line.isContextOf(customer, database)
                        && !line.at().isBefore(from)
                        && !line.at().isAfter(until)));
    return new Explanation(own, all);
  }

  private static List<DecisionLine> select(List<Path> files, Predicate<DecisionLine> wanted)
      throws CliException {
    List<DecisionLine> found = new ArrayList<>();
    for (Path file : files) {
      String source = String.valueOf(file.getFileName());
      try (BufferedReader reader = Files.newBufferedReader(file)) {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
          DecisionLine.parse(source, text).filter(wanted).ifPresent(found::add);
        }
      } catch (IOException e) {
        throw new CliException(
            ExitCode.FILE, ResultCode.BAD_REQUEST, "cannot read " + file + ": " + e, e);
      }
    }
    found.sort(Comparator.comparing(DecisionLine::at));
    return List.copyOf(found);
  }

  private static String field(List<DecisionLine> lines, String name) {
    return lines.stream()
        .map(line -> Optional.ofNullable(line.fields().get(name)))
        .flatMap(Optional::stream)
        .findFirst()
        .orElse("");
  }
}
