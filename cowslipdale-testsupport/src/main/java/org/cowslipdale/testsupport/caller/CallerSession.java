package org.cowslipdale.testsupport.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import org.cowslipdale.config.codec.Codecs;
import org.jspecify.annotations.Nullable;

/**
 * A caller's session, which may send each request to another VM.
 *
 * <p>Each request carries the session token of the newest response that had one. This class is
 * confined to one thread.
 */
public final class CallerSession {

  private static final ObjectMapper JSON = Codecs.json();
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final SecureRandom RANDOM = new SecureRandom();

  private final HttpClient client;
  private final @Nullable String key;
  private @Nullable String token;

  /**
   * Creates a session.
   *
   * @param client the HTTP client
   * @param key the text of the customer's API key, or null to send none
   */
  public CallerSession(HttpClient client, @Nullable String key) {
    this.client = client;
    this.key = key;
  }

  /** Returns a new request id: a version 7 UUID with the current time. */
  public static String newRequestId() {
    long time = System.currentTimeMillis();
    long mostSignificant = (time << 16) | 0x7000L | RANDOM.nextLong(0x1000);
    long leastSignificant = (RANDOM.nextLong() & 0x3fffffffffffffffL) | 0x8000000000000000L;
    return new UUID(mostSignificant, leastSignificant).toString();
  }

  /** Returns the current session token, or null if no response had one yet. */
  public @Nullable String token() {
    return token;
  }

  /** Runs a statement with a new request id. */
  public CallerReply run(String vm, String database, String workClass, String statement) {
    return run(vm, database, workClass, statement, newRequestId());
  }

  /** Runs a statement with a given request id, for example to resend it. */
  public CallerReply run(
      String vm, String database, String workClass, String statement, String requestId) {
    String path = "/v1/databases/%s/classes/%s/statements".formatted(database, workClass);
    return post(vm, path, Map.of("statement", statement), requestId);
  }

  /** Begins a transaction. */
  public CallerReply beginTransaction(String vm, String database, String workClass) {
    String path = "/v1/databases/%s/classes/%s/transactions".formatted(database, workClass);
    return post(vm, path, Map.of(), newRequestId());
  }

  /** Runs a statement in a transaction. */
  public CallerReply runInTransaction(String vm, String transaction, String statement) {
    return post(
        vm,
        "/v1/transactions/" + transaction + "/statements",
        Map.of("statement", statement),
        newRequestId());
  }

  /**
   * Ends a transaction.
   *
   * @param vm the address for callers of a VM, not necessarily the one that began the transaction
   * @param transaction the id of the transaction
   * @param command {@code commit} or {@code rollback}
   */
  public CallerReply endTransaction(String vm, String transaction, String command) {
    return post(vm, "/v1/transactions/" + transaction + "/" + command, Map.of(), newRequestId());
  }

  /** Runs the read that an open route defines. */
  public CallerReply readOpenRoute(String vm, String route) {
    HttpRequest.Builder request = newRequest(vm, "/v1/open-routes/" + route).GET();
    return send(request);
  }

  private CallerReply post(String vm, String path, Map<String, String> body, String requestId) {
    try {
      HttpRequest.Builder request =
          newRequest(vm, path)
              .header("Request-Id", requestId)
              .POST(BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body)));
      return send(request);
    } catch (IOException e) {
      throw new IllegalStateException("cannot write a request as JSON", e);
    }
  }

  private HttpRequest.Builder newRequest(String vm, String path) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + vm + path)).timeout(TIMEOUT);
    if (key != null) {
      request.header("Authorization", "Bearer " + key);
    }
    if (token != null) {
      request.header("Session-Token", token);
    }
    return request;
  }

  private CallerReply send(HttpRequest.Builder request) {
    long started = System.nanoTime();
    try {
      HttpResponse<byte[]> response = client.send(request.build(), BodyHandlers.ofByteArray());
      response.headers().firstValue("Session-Token").ifPresent(value -> token = value);
      return new CallerReply(
          response.statusCode(), JSON.readTree(response.body()), millisSince(started));
    } catch (IOException e) {
      return new CallerReply(
          0,
          JsonNodeFactory.instance.objectNode().put("error", e.toString()),
          millisSince(started));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new CallerReply(0, JsonNodeFactory.instance.objectNode(), millisSince(started));
    }
  }

  private static long millisSince(long startedNanos) {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }
}
