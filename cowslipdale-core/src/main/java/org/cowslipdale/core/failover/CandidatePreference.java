package org.cowslipdale.core.failover;

import java.util.Comparator;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.placement.ColdStartLimit;
import org.cowslipdale.core.view.SessionRoute;
import org.cowslipdale.core.view.View;

/** Orders promotion candidates with equal log positions. */
final class CandidatePreference {

  private CandidatePreference() {}

  /**
   * Returns an order in which the preferred candidate comes first: the one whose region more routes
   * of the database allow, since the others are refused while it is the primary; then one that is
   * not slow after its start, since that passes within seconds.
   */
  static Comparator<BackendServer> of(View view, String database, long now) {
    return Comparator.comparingLong(
            (BackendServer server) ->
                -countAllowingRoutes(view, database, server.announcement().region()))
        .thenComparing(server -> ColdStartLimit.isCold(server, view, now));
  }

  private static long countAllowingRoutes(View view, String database, String region) {
    return view.configuration().sessionRoutes().values().stream()
        .filter(route -> route.database().equals(database))
        .filter(route -> allows(route, region))
        .count();
  }

  private static boolean allows(SessionRoute route, String region) {
    return route.homeRegions().isEmpty() || route.homeRegions().contains(region);
  }
}
