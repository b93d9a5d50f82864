package org.cowslipdale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.protocol.ErrorBody;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.ResultCode;

/**
 * Calls the administration interface of the first VM that answers.
 *
 * <p>A change whose answer is lost is sent again with the same request id, which gives the first
 * answer again if the change was accepted.
 */
final class AdminClient {

  private static final ObjectMapper JSON = Codecs.json();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_ROUNDS = 3;
  private static final long RETRY_PAUSE_MILLIS = 500;

  private final List<String> servers;
  private final String token;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

  AdminClient(List<String> servers, String token) {
    this.servers = List.copyOf(servers);
    this.token = token;
  }

  /** Reads a resource. */
  <T> T get(String path, Class<T> type) throws CliException {
    return call("GET", path, "", type);
  }

  /** Sends a change or another command. */
  <T> T send(String method, String path, Object body, Class<T> type) throws CliException {
    try {
      return call(method, path, JSON.writeValueAsString(body), type);
    } catch (IOException e) {
      throw new IllegalStateException("requests can be written as JSON", e);
    }
  }

  private <T> T call(String method, String path, String body, Class<T> type) throws CliException {
    CliException last = null;
    for (int round = 0; round < MAX_ROUNDS; round++) {
      for (String server : servers) {
        try {
          return callServer(server, method, path, body, type);
        } catch (CliException e) {
          if (e.exitCode() != ExitCode.UNREACHABLE) {
            throw e;
          }
          last = e;
        }
      }
      pause();
    }
    if (last == null) {
      throw new CliException(
          ExitCode.USAGE, ResultCode.BAD_REQUEST, "no server is given; see --help", null);
    }
    throw last;
  }

  private <T> T callServer(String server, String method, String path, String body, Class<T> type)
      throws CliException {
    HttpRequest request;
    try {
      request =
          HttpRequest.newBuilder(URI.create("http://" + server + path))
              .timeout(TIMEOUT)
              .header("Authorization", "Bearer " + token)
              .method(method, BodyPublishers.ofString(body))
              .build();
    } catch (IllegalArgumentException e) {
      throw new CliException(
          ExitCode.USAGE, ResultCode.BAD_REQUEST, "not a server address: " + server, e);
    }
    try {
      HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
      if (response.statusCode() == 200) {
        return JSON.readValue(response.body(), type);
      }
      throw toException(response);
    } catch (IOException e) {
      throw new CliException(
          ExitCode.UNREACHABLE,
          method.equals("GET") ? ResultCode.NO_LEADER : ResultCode.CHANGE_OUTCOME_UNKNOWN,
          "%s does not answer: %s".formatted(server, e),
          e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CliException(
          ExitCode.UNREACHABLE, ResultCode.CHANGE_OUTCOME_UNKNOWN, "interrupted", e);
    }
  }

  private static CliException toException(HttpResponse<String> response) {
    try {
      ErrorBody error = JSON.readValue(response.body(), ErrorBody.class);
      ResultCode code = ResultCode.valueOf(error.name());
      boolean tryAgain = code.outcome() == Outcome.UNKNOWN || code == ResultCode.NO_LEADER;
      ExitCode exit = tryAgain ? ExitCode.UNREACHABLE : ExitCode.REFUSED;
      return new CliException(exit, code, error.message(), null);
    } catch (IOException | IllegalArgumentException e) {
      return new CliException(
          ExitCode.REFUSED,
          ResultCode.INTERNAL_ERROR,
          "unexpected answer with status " + response.statusCode(),
          e);
    }
  }

  /** Returns a value as a JSON tree, for printing. */
  static JsonNode toTree(Object value) {
    return JSON.valueToTree(value);
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
