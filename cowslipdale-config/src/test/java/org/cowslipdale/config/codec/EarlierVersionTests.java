package org.cowslipdale.config.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that records which the previous version encoded can be read, and that the previous version
 * can read those of this one. Guards against logs, snapshots and messages that cannot be decoded
 * after an upgrade of some VMs.
 */
class EarlierVersionTests {

  private record EarlierRoute(
      String name,
      String database,
      Freshness freshness,
      long statementLimitMillis,
      long targetMillis,
      int priority,
      boolean open) {}

  private record EarlierCustomer(
      String name, double ratePerSecond, long burst, Set<String> databases) {}

  private record EarlierDatabase(
      String name, int servers, int connectionLimit, int synchronousReplicas) {}

  private record EarlierAnnouncement(
      String database,
      String server,
      String address,
      String failureDomain,
      String region,
      ServerRole role,
      LogPosition position,
      long ageMillis,
      int slots,
      int connectionLimit,
      boolean leaving,
      long incarnation,
      long sequence) {}

  static Stream<Arguments> recordsOfBothVersions() {
    ServerRole role = ServerRole.REPLICA;
    LogPosition position = new LogPosition(2, 7);
    Freshness freshness = new Freshness.BoundedAge(1_500);
    List<Arguments> pairs =
        List.of(
            Arguments.of(
                new EarlierRoute("shop", "bonds", freshness, 800, 1_000, 2, true),
                new SessionRoute("shop", "bonds", freshness, 800, 1_000, 2, true)),
            Arguments.of(
                new EarlierCustomer("acme", 9.5, 9, Set.of("bonds")),
                new Customer("acme", 9.5, 9, Set.of("bonds"))),
            Arguments.of(new EarlierDatabase("bonds", 3, 70, 1), new Database("bonds", 3, 70, 1)),
            Arguments.of(
                new EarlierAnnouncement(
                    "bonds", "s", "a:1", "a", "r", role, position, 0, 4, 70, false, 5, 6),
                new Announcement(
                    "bonds", "s", "a:1", "a", "r", role, position, 0, 4, 70, false, 5, 6)));
    List<ObjectMapper> codecs =
        List.of(Codecs.json(), Codecs.messagePack(), Codecs.compactMessagePack());
    return codecs.stream()
        .flatMap(
            codec -> pairs.stream().map(pair -> Arguments.of(codec, pair.get()[0], pair.get()[1])));
  }

  @ParameterizedTest
  @MethodSource("recordsOfBothVersions")
  void readsRecordsOfThePreviousVersion(ObjectMapper codec, Object earlier, Object current)
      throws IOException {
    assertThat(codec.readValue(codec.writeValueAsBytes(earlier), current.getClass()), is(current));
  }

  @ParameterizedTest
  @MethodSource("recordsOfBothVersions")
  void previousVersionReadsRecordsOfThisOne(ObjectMapper codec, Object earlier, Object current)
      throws IOException {
    assertThat(codec.readValue(codec.writeValueAsBytes(current), earlier.getClass()), is(earlier));
  }
}
