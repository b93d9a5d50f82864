package org.cowslipdale.testsupport.database;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import org.cowslipdale.config.codec.Codecs;
import org.jspecify.annotations.Nullable;

/**
 * Records each call that a stand-in server received and its effect, for verification by tests.
 *
 * <p>Each line of the file is a JSON object.
 */
final class RunLog implements AutoCloseable {

  private static final ObjectMapper JSON = Codecs.json();

  private final @Nullable BufferedWriter writer;

  RunLog(String file) throws IOException {
    this.writer =
        file.isEmpty()
            ? null
            : Files.newBufferedWriter(
                Path.of(file), UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }

  void write(Entry entry) throws IOException {
    if (writer != null) {
      writer.write(JSON.writeValueAsString(entry));
      writer.newLine();
      writer.flush();
    }
  }

  @Override
  public void close() throws IOException {
    if (writer != null) {
      writer.close();
    }
  }

  /**
   * A call and its effect.
   *
   * @param atMillis time at which the call was completed, in milliseconds since the epoch
   * @param server the name of the server
   * @param connection the number of the connection, in the order of acceptance
   * @param operation the request path of the call
   * @param call the identifier of the call
   * @param statement the statement, if any
   * @param effect {@code ran}, {@code declined} (the server rejected the call) or {@code failed}
   * @param term the term of the server after the call
   * @param offset the end of the server's log after the call
   * @param headers all HTTP headers of the call
   */
  @JsonInclude(JsonInclude.Include.NON_NULL)
  record Entry(
      long atMillis,
      String server,
      int connection,
      String operation,
      String call,
      @Nullable String statement,
      String effect,
      long term,
      long offset,
      Map<String, String> headers) {}
}
