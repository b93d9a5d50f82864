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

class KeyTests {

  private static final long IN_FORCE_LIMIT_MILLIS = 9_000;

  @TempDir Path folder;

  @Test
  void isolatedVmRejectsWithdrawnKey() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String key = fleet.operator(1).addKey("acme");
      CallerSession session = new CallerSession(fleet.client(), key);
      int cut = followerVm(fleet);
      int other = cut == 1 ? 2 : 1;
      assertThat(session.run(fleet.callerAddress(cut), "bonds", "any", "get x").isSuccessful(), is(true));

      fleet.fleet().network().isolate(fleet.fleet().vm("vm" + cut).spec().failureDomain());
      long started = System.nanoTime();
      JsonNode withdrawn = fleet.operator(other).withdrawKey(key);
      fleet.operator(other).awaitInForce(withdrawn.path("version").asLong(), "keys");
      long millis = (System.nanoTime() - started) / 1_000_000;

      CallerReply reply = session.run(fleet.callerAddress(cut), "bonds", "any", "get x");
      assertThat(reply.toString(), reply.isSuccessful(), is(false));
      assertThat(millis, lessThanOrEqualTo(IN_FORCE_LIMIT_MILLIS));
      CallerReply open =
          new CallerSession(fleet.client(), null).readOpenRoute(fleet.callerAddress(cut), "notice");
      assertThat(open.toString(), open.isSuccessful(), is(true));
    }
  }

  @Test
  void writesNoKeyToBackendServersOrFiles() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      String secret = fleet.key().split("_", -1)[2];
      CallerSession session = fleet.newSession();
      String begun =
          session
              .beginTransaction(fleet.callerAddress(1), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();
      session.runInTransaction(fleet.callerAddress(2), begun, "put a 1");
      session.endTransaction(fleet.callerAddress(3), begun, "commit");
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
          assertThat(file + " holds the key", containsText(file, secret), is(false));
        }
      }
    }
  }

  @Test
  void rejectsUseOfTransactionOrDatabaseOfAnotherCustomer() throws IOException {
    try (TestFleet fleet = TestFleet.start(folder)) {
      CallerSession small = new CallerSession(fleet.client(), fleet.operator(1).addKey("small"));
      CallerSession acme = fleet.newSession();
      String begun =
          acme.beginTransaction(fleet.callerAddress(1), "bonds", "plain-saves")
              .body()
              .path("transaction")
              .asText();

      assertThat(small.runInTransaction(fleet.callerAddress(1), begun, "put a 1").resultCode(), is(1010));
      assertThat(small.runInTransaction(fleet.callerAddress(2), begun, "put a 1").resultCode(), is(1010));
      assertThat(small.endTransaction(fleet.callerAddress(3), begun, "commit").resultCode(), is(1010));
      assertThat(small.run(fleet.callerAddress(1), "grants", "own", "get a").resultCode(), is(1004));
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
