package org.cowslipdale.testsupport.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Random;
import java.util.UUID;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.fleet.ConfigurationReader;
import org.cowslipdale.config.ini.IniException;
import org.cowslipdale.config.ini.IniFile;
import org.cowslipdale.config.protocol.AdminMessages.ConfigurationUpdate;
import org.cowslipdale.config.protocol.AdminMessages.KeyAddition;
import org.cowslipdale.config.protocol.AdminMessages.Removal;
import org.cowslipdale.core.view.KeyDigester;

/** Speaks the administration interface of one VM. */
public final class Operator {

  private static final ObjectMapper JSON = Codecs.json();

  private final HttpClient client;
  private final String admin;
  private final String token;
  private final Random random = new Random();

  /**
   * Creates an operator.
   *
   * @param client the HTTP client
   * @param admin the admin address of the VM
   * @param token the administration token
   */
  public Operator(HttpClient client, String admin, String token) {
    this.client = client;
    this.admin = admin;
    this.token = token;
  }

  /** Applies the text of a configuration file. */
  public JsonNode apply(String ini, long expectedVersion, String requestId) throws IOException {
    try {
      ConfigurationUpdate update =
          new ConfigurationUpdate(
              requestId, expectedVersion, ConfigurationReader.read(IniFile.parse("test", ini)));
      return call("PUT", "/v1/admin/configuration", update);
    } catch (IniException e) {
      throw new IOException(e);
    }
  }

  /** Gives a customer a key and returns the text of the key. */
  public String addKey(String customer) throws IOException {
    String id = HexFormat.of().toHexDigits(random.nextLong());
    String secret = HexFormat.of().toHexDigits(random.nextLong()).repeat(2);
    String salt = HexFormat.of().toHexDigits(random.nextLong());
    KeyAddition addition =
        new KeyAddition(
            UUID.randomUUID().toString(), KeyDigester.digest(id, customer, salt, secret));
    JsonNode result = call("POST", "/v1/admin/keys", addition);
    awaitInForce(result.path("version").asLong(), "view");
    return KeyDigester.format(id, secret);
  }

  /** Withdraws a key and returns the result of the change. */
  public JsonNode withdrawKey(String key) throws IOException {
    String id = key.split("_", -1)[1];
    return call("POST", "/v1/admin/keys/withdraw", new Removal(UUID.randomUUID().toString(), id));
  }

  /** Waits until a version is in force everywhere and returns how long it took. */
  public long awaitInForce(long version, String kind) throws IOException {
    long started = System.nanoTime();
    String path = "/v1/admin/in-force?version=%d&kind=%s".formatted(version, kind);
    while (!call("GET", path, "").path("inForce").asBoolean()) {
      pause();
      if (System.nanoTime() - started > Duration.ofSeconds(60).toNanos()) {
        throw new IOException("version " + version + " did not come into force");
      }
    }
    return (System.nanoTime() - started) / 1_000_000;
  }

  /** Returns the state of the fleet. */
  public JsonNode status() throws IOException {
    return call("GET", "/v1/admin/status", "");
  }

  /** Returns the name of a database's primary; empty while there is none. */
  public String primary(String database) throws IOException {
    for (JsonNode item : status().path("databases")) {
      if (item.path("name").asText().equals(database)) {
        return item.path("primary").asText("").replace("null", "");
      }
    }
    return "";
  }

  /** Waits until a database has a primary other than a given one and returns its name. */
  public String awaitPrimary(String database, String otherThan) throws IOException {
    long started = System.nanoTime();
    while (true) {
      String primary = primary(database);
      if (!primary.isEmpty() && !primary.equals(otherThan)) {
        return primary;
      }
      if (System.nanoTime() - started > Duration.ofSeconds(60).toNanos()) {
        throw new IOException("no new primary for " + database + ": " + status());
      }
      pause();
    }
  }

  /** Makes a call and returns the JSON answer, also of a refusal. */
  public JsonNode call(String method, String path, Object body) throws IOException {
    String text = body instanceof String plain ? plain : JSON.writeValueAsString(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + admin + path))
            .timeout(Duration.ofSeconds(10))
            .header("Authorization", "Bearer " + token)
            .method(method, BodyPublishers.ofString(text))
            .build();
    try {
      return JSON.readTree(client.send(request, BodyHandlers.ofString()).body());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private static void pause() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
