package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.WorkClass;

/**
 * A request to be routed to a backend server.
 *
 * @param database the database
 * @param workClass the work class of the request
 * @param sessionPosition the log position that the session has observed and reads must include
 * @param triedServers the names of the servers that have already rejected the request
 */
public record RouteRequest(
    String database, WorkClass workClass, LogPosition sessionPosition, Set<String> triedServers) {

  /** Copies the set and checks that no component is null. */
  public RouteRequest {
    requireNonNull(database, "database");
    requireNonNull(workClass, "workClass");
    requireNonNull(sessionPosition, "sessionPosition");
    triedServers = Set.copyOf(triedServers);
  }
}
