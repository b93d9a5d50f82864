package support;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** Sends orders and heartbeats to the machines that serve control, in turn until one answers. */
final class Operator implements AutoCloseable {

  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final List<String> addresses;
  private final Record record;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(ANSWER_TIMEOUT)
          .build();

  /**
   * An answer.
   *
   * @param status the status; 0 if there was no answer
   * @param body the body
   */
  record Answer(int status, byte[] body) {}

  Operator(List<String> addresses, Record record) {
    this.addresses = List.copyOf(addresses);
    this.record = record;
  }

  Answer send(String address, String method, String path, byte[] body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(ANSWER_TIMEOUT)
            .header("Content-Type", "application/json")
            .method(method, HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    try {
      HttpResponse<byte[]> answer = client.send(request, BodyHandlers.ofByteArray());
      return new Answer(answer.statusCode(), answer.body());
    } catch (IOException e) {
      return new Answer(0, new byte[0]);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, new byte[0]);
    }
  }

  /** Sends to one machine after the other until one gives an answer below 500. */
  Answer sendUntilClear(String method, String path, byte[] body, long limitMillis)
      throws IOException {
    long end = System.nanoTime() + limitMillis * 1_000_000;
    for (int turn = 0; System.nanoTime() < end; turn++) {
      Answer answer = send(addresses.get(turn % addresses.size()), method, path, body);
      if (answer.status() > 0 && answer.status() < 500) {
        return answer;
      }
      pause(100);
    }
    throw new IOException("no clear answer to " + method + " " + path);
  }

  /** Sends a configuration and returns the status of the answer. */
  int configure(byte[] document) throws IOException {
    Answer answer = sendUntilClear("POST", "/v1/config/replace", document, 30_000);
    record.line("configuration of %d bytes answered with %d", document.length, answer.status());
    return answer.status();
  }

  /** Reads the configuration, as at the end of a day. */
  byte[] readConfiguration() throws IOException {
    long end = System.nanoTime() + 15_000_000_000L;
    for (int turn = 0; System.nanoTime() < end; turn++) {
      Answer answer =
          send(addresses.get(turn % addresses.size()), "GET", "/v1/config/get", new byte[0]);
      if (answer.status() == 200) {
        return answer.body();
      }
      pause(100);
    }
    throw new IOException("the configuration cannot be read");
  }

  /**
   * Returns a configuration document like the example of PROTOCOL.md.
   *
   * @param tenant the name of the tenant, which has the key "key-" and this name
   */
  static byte[] document(long version, int syncReplicas, String tenant) {
    return """
    {"version":%d,"routes":[\
    {"name":"r-1","database":"subscribe","pathPrefix":"/","routeType":"primary",\
    "timeoutMs":1000,"targetLatencyMs":1000,"priority":1,"service":"registry","maxAttempts":2,\
    "public":false},\
    {"name":"r-2","database":"holding","pathPrefix":"/","routeType":"bounded",\
    "timeoutMs":3000,"targetLatencyMs":1500,"priority":2,"service":"registry","maxAttempts":2,\
    "maxStalenessMs":1500,"public":false}],\
    "services":[{"name":"registry","healthCheckPath":"/health","maxConnections":32,\
    "protocol":"h1","tls":false,"syncReplicas":%d}],\
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,\
    "idleTimeoutMs":15000,"txIdleMs":3000},\
    "tenants":[{"name":"%s","apiKeys":["key-%s"],"priority":1,"ratePerS":1000,"burst":1000}]}\
    """
        .formatted(version, syncReplicas, tenant, tenant)
        .getBytes(UTF_8);
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    client.shutdownNow();
  }
}
