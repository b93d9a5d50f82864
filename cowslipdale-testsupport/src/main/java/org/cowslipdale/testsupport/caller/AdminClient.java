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

/** A client of the administration interface of one VM. */
public final class AdminClient {

  private static final ObjectMapper JSON = Codecs.json();

  private final HttpClient client;
  private final String address;
  private final String token;
  private final Random random = new Random();

  /**
   * Creates a client.
   *
   * @param client the HTTP client
   * @param address the address of the VM's administration interface
   * @param token the administration token
   */
  public AdminClient(HttpClient client, String address, String token) {
    this.client = client;
    this.address = address;
    this.token = token;
  }

  /**
   * Applies a configuration file.
   *
   * @param ini the text of a configuration file
   * @param expectedVersion the configuration version that the new configuration replaces
   * @param requestId identifies the change, so that a resent one is applied once
   * @return the result of the change, which may be an error
   */
  public JsonNode applyConfiguration(String ini, long expectedVersion, String requestId)
      throws IOException {
    try {
      ConfigurationUpdate update =
          new ConfigurationUpdate(
              requestId, expectedVersion, ConfigurationReader.read(IniFile.parse("test", ini)));
      return call("PUT", "/v1/admin/configuration", update);
    } catch (IniException e) {
      throw new IOException(e);
    }
  }

  /** Adds a key for a customer, waits until it is in force and returns the text of the key. */
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

  /** Withdraws a key and returns the result of the change without waiting for its effect. */
  public JsonNode withdrawKey(String key) throws IOException {
    String id = key.split("_", -1)[1];
    return call("POST", "/v1/admin/keys/withdraw", new Removal(UUID.randomUUID().toString(), id));
  }

  /**
   * Waits until a version is in force on all VMs.
   *
   * @param version the version
   * @param kind the value of the {@code kind} parameter: {@code view} or {@code keys}
   * @return the time waited, in milliseconds
   * @throws IOException if the version is not in force within 60 s, or a request fails
   */
  public long awaitInForce(long version, String kind) throws IOException {
    long started = System.nanoTime();
    String path = "/v1/admin/in-force?version=%d&kind=%s".formatted(version, kind);
    while (!call("GET", path, "").path("inForce").asBoolean()) {
      pause();
      if (System.nanoTime() - started > Duration.ofSeconds(60).toNanos()) {
        throw new IOException("version " + version + " was not in force on all VMs within 60 s");
      }
    }
    return (System.nanoTime() - started) / 1_000_000;
  }

  /** Returns the status of the fleet. */
  public JsonNode status() throws IOException {
    return call("GET", "/v1/admin/status", "");
  }

  /** Returns the name of the primary of a database; empty if there is none. */
  public String primary(String database) throws IOException {
    for (JsonNode item : status().path("databases")) {
      if (item.path("name").asText().equals(database)) {
        return item.path("primary").asText("").replace("null", "");
      }
    }
    return "";
  }

  /**
   * Waits until a database has a primary other than a given one.
   *
   * @param database the name of the database
   * @param otherThan the name of the primary to be replaced; empty to wait for any primary
   * @return the name of the primary
   * @throws IOException if there is none within 60 s, or a request fails
   */
  public String awaitPrimary(String database, String otherThan) throws IOException {
    long started = System.nanoTime();
    while (true) {
      String primary = primary(database);
      if (!primary.isEmpty() && !primary.equals(otherThan)) {
        return primary;
      }
      if (System.nanoTime() - started > Duration.ofSeconds(60).toNanos()) {
        throw new IOException("no new primary of " + database + " within 60 s: " + status());
      }
      pause();
    }
  }

  /** Sends a request and returns the JSON body of the response, which may be an error. */
  public JsonNode call(String method, String path, Object body) throws IOException {
    String text = body instanceof String plain ? plain : JSON.writeValueAsString(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
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
