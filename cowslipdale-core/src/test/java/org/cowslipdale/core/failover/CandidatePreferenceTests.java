package org.cowslipdale.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.failover.FailoverAction.Propose;
import org.cowslipdale.core.failover.FailoverAction.QueryPosition;
import org.cowslipdale.core.failover.FailoverAction.RequestPromotion;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the choice between promotion candidates whose log positions are equal or not. */
class CandidatePreferenceTests {

  private final FailoverCoordinator coordinator =
      new FailoverCoordinator(new PromotionMode.ByService());
  private final BackendRegistry registry = new BackendRegistry(60_000);
  private long now = 100_000;

  /**
   * Guards against a promotion after which more routes than necessary are refused. The position
   * still decides first, since a lower one loses acknowledged writes.
   */
  @ParameterizedTest
  @CsvSource({
    "north north, 20, 20, bonds-2",
    "north south south, 20, 20, bonds-3",
    "south '', 20, 20, bonds-3",
    "south, 21, 20, bonds-2",
    "north, 20, 21, bonds-3"
  })
  void prefersRegionThatMoreRoutesAllowAmongEqualPositions(
      String regionsOfRoutes, long offsetNorth, long offsetSouth, String promoted) {
    announce("bonds-2", "north");
    announce("bonds-3", "south");

    assertThat(
        promote(view(regionsOfRoutes.split(" ", -1)), offsetNorth, offsetSouth), is(promoted));
  }

  /** Guards against a primary that takes few requests while one that takes all is as recent. */
  @ParameterizedTest
  @CsvSource({
    "north south, 5000, 20, 20, bonds-3",
    "north south, 0, 20, 20, bonds-2",
    "north south, 5000, 21, 20, bonds-2",
    "north, 5000, 20, 20, bonds-2"
  })
  void prefersServerThatIsNotColdAmongEqualPositionsAndRegions(
      String regionsOfRoutes,
      long coldRemainingNorth,
      long offsetNorth,
      long offsetSouth,
      String promoted) {
    announce("bonds-2", "north", 3_500 + coldRemainingNorth);
    announce("bonds-3", "south", 0);
    now += 3_500;

    assertThat(
        promote(view(regionsOfRoutes.split(" ", -1)), offsetNorth, offsetSouth), is(promoted));
  }

  private String promote(View initialView, long offset2, long offset3) {
    View view = initialView;
    Map<String, Long> offsets = Map.of("bonds-2", offset2, "bonds-3", offset3);
    for (int i = 0; i < 400; i++) {
      now += 25;
      for (FailoverAction action :
          coordinator.tick(view, registry, Set.of("vm1"), version -> true, now)) {
        switch (action) {
          case Propose propose -> {
            view = view.apply(propose.command()).view();
            coordinator.recordTermVersion("bonds", view.version());
          }
          case QueryPosition query -> {
            LogPosition position = new LogPosition(1, offsets.get(query.server()));
            coordinator.recordPosition("bonds", query.term(), query.server(), position);
          }
          case RequestPromotion request -> {
            return request.server();
          }
          default -> throw new AssertionError("unexpected: " + action);
        }
      }
    }
    throw new AssertionError("no promotion within 10 s");
  }

  private void announce(String server, String region) {
    announce(server, region, 0);
  }

  private void announce(String server, String region, long coldRemainingMillis) {
    registry.addAnnouncement(
        new Announcement(
            "bonds",
            server,
            server + ":1",
            region + "-a",
            region,
            ServerRole.REPLICA,
            LogPosition.ZERO,
            0,
            5,
            30,
            false,
            1,
            1,
            coldRemainingMillis),
        0,
        now);
  }

  private static View view(String... regionsOfRoutes) {
    List<SessionRoute> routes = new ArrayList<>();
    for (String region : regionsOfRoutes) {
      routes.add(
          new SessionRoute(
              "route-" + routes.size(),
              "bonds",
              new Freshness.Latest(),
              800,
              1_000,
              0,
              false,
              region.equals("''") ? Set.of() : Set.of(region)));
    }
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 3, 70, 0, 10_000, 20)),
            routes.stream().collect(Collectors.toMap(SessionRoute::name, route -> route)),
            30_000);
    return View.EMPTY
        .apply(
            new ViewCommand.ReplaceConfiguration(
                new DeclaredDocument(1, "{}"), configuration, List.of()))
        .view();
  }
}
