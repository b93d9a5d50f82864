package org.cowslipdale.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the requests that {@code cowslipdale evacuate} sends, and the status that it leads to. */
class EvacuateCommandTests {

  private static final String CHANGE =
      "{\"requestId\":\"\",\"code\":\"OK\",\"message\":\"done\",\"version\":7,\"proposedAtMillis\":0}";
  private static final String STATUS =
      """
      {"vm":"vm1","leader":"vm1","version":7,"configurationVersion":1,"leaseMillis":100,"vms":[],\
      "databases":[]%s}\
      """;

  private final List<String> requests = new ArrayList<>();
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final Options options = new Options();
  private HttpServer server;
  private String status = STATUS.formatted("");

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String path = exchange.getRequestURI().getPath();
          String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
          requests.add(exchange.getRequestMethod() + " " + path + " " + body);
          byte[] reply = (path.endsWith("/status") ? status : CHANGE).getBytes(UTF_8);
          exchange.sendResponseHeaders(200, reply.length);
          exchange.getResponseBody().write(reply);
          exchange.close();
        });
    server.start();
    options.waitSeconds = 0;
  }

  @AfterEach
  void stop() {
    server.stop(0);
  }

  /** Guards against an order that begins what it should end. */
  @ParameterizedTest
  @CsvSource({"false, start", "true, finish"})
  void sendsOrder(boolean end, String action) throws CliException {
    Options.Evacuate evacuate = new Options.Evacuate();
    evacuate.failureDomain = "zone-a";
    evacuate.end = end;

    commands().evacuate(evacuate);

    assertThat(
        requests,
        is(List.of("POST /v1/admin/evacuations/" + action + " {\"failureDomain\":\"zone-a\"}")));
    assertThat(out.toString(UTF_8), containsString("done"));
  }

  @Test
  void statusListsEvacuatedFailureDomains() throws CliException {
    status = STATUS.formatted(",\"evacuatedDomains\":[\"zone-a\",\"zone-b\"]");

    commands().status();

    assertThat(out.toString(UTF_8), containsString("evacuated failure domains: zone-a, zone-b"));
  }

  /** A VM of an earlier version lists no evacuated failure domains. */
  @Test
  void readsStatusOfEarlierVersion() throws CliException {
    commands().status();

    assertThat(out.toString(UTF_8), containsString("answered by vm1"));
  }

  private Commands commands() {
    String address = "127.0.0.1:" + server.getAddress().getPort();
    return new Commands(
        options, new AdminClient(List.of(address), "token"), new PrintStream(out, true, UTF_8));
  }
}
