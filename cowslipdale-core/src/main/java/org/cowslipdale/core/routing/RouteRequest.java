package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.WorkClass;

/**
 * A request for which a backend server is wanted.
 *
 * @param database the database
 * @param workClass the class of the request
 * @param sessionPosition the position that the session has seen
 * @param triedServers the servers that already declined the request
 */
public record RouteRequest(
    String database, WorkClass workClass, LogPosition sessionPosition, Set<String> triedServers) {

  /** Copies the set and asserts that every component is set. */
  public RouteRequest {
    requireNonNull(database, "database");
    requireNonNull(workClass, "workClass");
    requireNonNull(sessionPosition, "seen");
    triedServers = Set.copyOf(triedServers);
  }
}
