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
 * The decision log lines of several VMs that explain one request, sorted by time: the lines of the
 * request, and the other decisions and state changes that were logged around it.
 *
 * @param requestLines the lines of the request
 * @param timeline the lines of the request and those logged around it
 */
record Explanation(List<DecisionLine> requestLines, List<DecisionLine> timeline) {

  /**
   * Reads log files and selects the lines that explain a request.
   *
   * @param id the id of the request
   * @param files the log files
   * @param around how long before and after the request other lines are included
   * @throws CliException if a file cannot be read or no file contains the request
   */
  static Explanation read(String id, List<Path> files, Duration around) throws CliException {
    List<DecisionLine> requestLines = select(files, line -> line.isForRequest(id));
    if (requestLines.isEmpty()) {
      throw new CliException(
          ExitCode.REFUSED,
          ResultCode.NOT_FOUND,
          "no line of request " + id + "; of successes, one request in fifty is logged",
          null);
    }
    Instant from = requestLines.getFirst().at().minus(around);
    Instant until = requestLines.getLast().at().plus(around);
    String customer = field(requestLines, "customer");
    String database = field(requestLines, "database");
    List<DecisionLine> timeline =
        select(
            files,
            line ->
                line.isForRequest(id)
                    || (line.isContextOf(customer, database)
                        && !line.at().isBefore(from)
                        && !line.at().isAfter(until)));
    return new Explanation(requestLines, timeline);
  }

  private static List<DecisionLine> select(List<Path> files, Predicate<DecisionLine> condition)
      throws CliException {
    List<DecisionLine> found = new ArrayList<>();
    for (Path file : files) {
      String source = String.valueOf(file.getFileName());
      try (BufferedReader reader = Files.newBufferedReader(file)) {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
          DecisionLine.parse(source, text).filter(condition).ifPresent(found::add);
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
