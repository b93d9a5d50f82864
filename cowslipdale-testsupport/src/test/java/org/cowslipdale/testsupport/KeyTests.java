package org.cowslipdale.testsupport;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Integration tests for API keys and the separation of customers. */
class KeyTests {

  private static final long IN_FORCE_LIMIT_MILLIS = 9_000;

  @TempDir Path folder;

  /**
   * Guards against a withdrawn key that an isolated VM still accepts, because the withdrawal cannot
   * reach it. Once the withdrawal is reported in force, which must take at most 9 s, the VM must
   * reject the key. The open route, which needs no key, stays available.
   */
  @Test
  void isolatedVmRejectsWithdrawnKey() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String key = fleet.operator(1).addKey("acme");
      CallerSession session = new CallerSession(fleet.client(), key);
      int isolated = followerVm(fleet);
      int connected = isolated == 1 ? 2 : 1;
      assertThat(
          session.run(fleet.callerAddress(isolated), "bonds", "any", "get x").isSuccessful(),
          is(true));

      fleet.fleet().network().isolate(fleet.fleet().vm("vm" + isolated).spec().failureDomain());
      long started = System.nanoTime();
      JsonNode withdrawn = fleet.operator(connected).withdrawKey(key);
      fleet.operator(connected).awaitInForce(withdrawn.path("version").asLong(), "keys");
      long millis = (System.nanoTime() - started) / 1_000_000;

      CallerReply reply = session.run(fleet.callerAddress(isolated), "bonds", "any", "get x");
      assertThat(reply.toString(), reply.isSuccessful(), is(false));
      assertThat(millis, lessThanOrEqualTo(IN_FORCE_LIMIT_MILLIS));
      CallerReply open =
          new CallerSession(fleet.client(), null)
              .readOpenRoute(fleet.callerAddress(isolated), "notice");
      assertThat(open.toString(), open.isSuccessful(), is(true));
    }
  }

  /**
   * Guards against a leaked key. After requests of each kind, one with an invalid key, no file of
   * the fleet may contain the secret part of the key: no log, data folder or run log, in which
   * backend servers record the requests with their headers.
   */
  @Test
  void writesNoKeyToBackendServersOrFiles() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String secret = fleet.key().split("_", -1)[2];
      CallerSession session = fleet.newSession();
      String transaction =
          session
              .beginTransaction(fleet.callerAddress(1), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();
      session.runInTransaction(fleet.callerAddress(2), transaction, "put a 1");
      session.endTransaction(fleet.callerAddress(3), transaction, "commit");
      session.run(fleet.callerAddress(3), "bonds", "own", "get a");
      new CallerSession(fleet.client(), fleet.key() + "x")
          .run(fleet.callerAddress(1), "bonds", "own", "get a");
      int runs = 0;
      for (String server : List.of("bonds-1", "bonds-2", "bonds-3")) {
        runs += fleet.runLogEntries(server).size();
      }

      assertThat(runs, greaterThan(3));
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.filter(Files::isRegularFile).toList()) {
          assertThat(file + " contains the key", containsText(file, secret), is(false));
        }
      }
    }
  }

  /**
   * Guards against access across customers: with the identifier of a transaction of another
   * customer, through any VM, and to a database that the customer may not use.
   */
  @Test
  void rejectsUseOfTransactionOrDatabaseOfAnotherCustomer() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      CallerSession small = new CallerSession(fleet.client(), fleet.operator(1).addKey("small"));
      CallerSession acme = fleet.newSession();
      String transaction =
          acme.beginTransaction(fleet.callerAddress(1), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();

      assertThat(
          small.runInTransaction(fleet.callerAddress(1), transaction, "put a 1").resultCode(),
          is(1010));
      assertThat(
          small.runInTransaction(fleet.callerAddress(2), transaction, "put a 1").resultCode(),
          is(1010));
      assertThat(
          small.endTransaction(fleet.callerAddress(3), transaction, "commit").resultCode(),
          is(1010));
      assertThat(
          small.run(fleet.callerAddress(1), "grants", "own", "get a").resultCode(), is(1004));
      assertThat(fleet.executionCount("put a 1"), is(0L));
    }
  }

  /** Returns a VM that does not lead the control log. */
  private static int followerVm(TestFleet fleet) throws IOException {
    return fleet.operator(1).status().path("leader").asText().equals("vm3") ? 2 : 3;
  }

  private static boolean containsText(Path file, String secret) throws IOException {
    return new String(Files.readAllBytes(file), ISO_8859_1).contains(secret);
  }
}
