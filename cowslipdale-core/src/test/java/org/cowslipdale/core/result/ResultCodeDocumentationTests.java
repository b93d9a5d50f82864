package org.cowslipdale.core.result;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class ResultCodeDocumentationTests {

  private static final Path RESULT_CODE_TABLE = Path.of("..", "docs", "RESULT-CODES.md");

  @Test
  void tableMatchesResultCodes() throws IOException {
    List<String> documented =
        Files.readAllLines(RESULT_CODE_TABLE).stream().filter(line -> line.matches("\\| \\d.*")).toList();
    List<String> actual =
        Arrays.stream(ResultCode.values()).map(ResultCodeDocumentationTests::row).toList();

    assertThat(documented, containsInAnyOrder(actual.toArray()));
  }

  @Test
  void numbersAreUnique() {
    long distinct = Arrays.stream(ResultCode.values()).map(ResultCode::number).distinct().count();

    assertThat(distinct, is((long) ResultCode.values().length));
  }

  private static String row(ResultCode code) {
    return "| %d | %s | %d | %s | %s |"
        .formatted(code.number(), code.name(), code.httpStatus(), code.outcome(), code.text());
  }
}
