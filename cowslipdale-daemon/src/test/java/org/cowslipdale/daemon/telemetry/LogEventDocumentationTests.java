package org.cowslipdale.daemon.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class LogEventDocumentationTests {

  private static final Path OPERATIONS_PAGE = Path.of("..", "docs", "OPERATIONS.md");

  @Test
  void documentsExactlyTheLoggedEvents() throws IOException {
    List<String> documented =
        Files.readAllLines(OPERATIONS_PAGE).stream()
            .filter(line -> line.startsWith("| event `"))
            .map(line -> line.split("`", -1)[1])
            .toList();
    Object[] actual = Arrays.stream(LogEvent.values()).map(LogEvent::text).toArray();

    assertThat(documented, containsInAnyOrder(actual));
  }
}
