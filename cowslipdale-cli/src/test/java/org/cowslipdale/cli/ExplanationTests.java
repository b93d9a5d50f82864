package org.cowslipdale.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.cowslipdale.core.result.ResultCode;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ExplanationTests {

  private static final Duration AROUND = Duration.ofSeconds(5);

  @TempDir Path folder;

  private Path entry;
  private Path control;

  @BeforeEach
  void writeLogs() throws IOException {
    entry = folder.resolve("vm1.log");
    control = folder.resolve("vm2.log");
    Files.write(
        entry,
        List.of(
            "WARNING: not a line of the log",
            line(10_300, "statement-refused", "request", "r1", "code", "OUTCOME_UNKNOWN"),
            line(
                10_200,
                "server-connection-broken",
                "request",
                "r1",
                "database",
                "bonds",
                "customer",
                "acme"),
            line(10_100, "statement-refused", "request", "r2", "code", "NO_PRIMARY"),
            "{\"timestamp\":10250,\"loggerName\":\"other\",\"message\":\"unrelated\"}",
            "{ truncated"));
    Files.write(
        control,
        List.of(
            "12.5 vm2 " + line(10_900, "promotion-phase", "phase", "began", "database", "bonds"),
            line(10_800, "promotion-phase", "phase", "began", "database", "loans"),
            line(10_700, "tokens-refused", "customer", "other"),
            line(2_000, "lease-gained", "view_version", "3")));
  }

  @Test
  void mergesRequestLinesWithContextLines() throws CliException {
    Explanation found = Explanation.read("r1", List.of(entry, control), AROUND);

    assertThat(found.requestLines(), hasSize(2));
    assertThat(
        found.timeline().stream().map(each -> each.source() + " " + each.event()).toList(),
        contains(
            "vm1.log server-connection-broken",
            "vm1.log statement-refused",
            "vm2.log promotion-phase"));
  }

  /** A refusal during an evacuation is explained only if the evacuation is shown. */
  @Test
  void showsEvacuations() throws CliException, IOException {
    Path log = folder.resolve("vm3.log");
    Files.writeString(
        log, line(10_000, "evacuation-changed", "failure_domain", "zone-a", "evacuated", "true"));

    Explanation found = Explanation.read("r1", List.of(entry, log), AROUND);

    assertThat(found.timeline().getFirst().event(), is("evacuation-changed"));
  }

  @Test
  void rejectsRequestMissingFromAllFiles() {
    CliException e =
        assertThrows(CliException.class, () -> Explanation.read("r9", List.of(entry), AROUND));

    assertThat(e.code(), is(ResultCode.NOT_FOUND));
    assertThat(e.exitCode(), is(ExitCode.REFUSED));
  }

  @Test
  void rejectsUnreadableFile() {
    Path missing = folder.resolve("none.log");
    CliException e =
        assertThrows(CliException.class, () -> Explanation.read("r1", List.of(missing), AROUND));

    assertThat(e.exitCode(), is(ExitCode.FILE));
  }

  private static String line(long at, String event, String... fields) {
    StringBuilder pairs = new StringBuilder();
    for (int i = 0; i < fields.length; i += 2) {
      pairs.append(i == 0 ? "" : ",").append("{\"%s\":\"%s\"}".formatted(fields[i], fields[i + 1]));
    }
    return "{\"timestamp\":%d,\"loggerName\":\"decision\",\"kvpList\":[%s],\"message\":\"%s\"}"
        .formatted(at, pairs, event);
  }
}
