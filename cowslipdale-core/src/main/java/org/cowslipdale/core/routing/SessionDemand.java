package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Freshness;

/**
 * What a statement or transaction of a session needs from a server.
 *
 * @param write whether it may write
 * @param freshness how recent the data of its reads must be
 * @param sessionPosition the latest position that the session has committed, in terms of the servers' log
 * @param triedServers the servers that already declined it
 */
public record SessionDemand(
    boolean write, Freshness freshness, LogPosition sessionPosition, Set<String> triedServers) {

  /** Copies the set and asserts that every component is set. */
  public SessionDemand {
    requireNonNull(freshness, "freshness");
    requireNonNull(sessionPosition, "seen");
    triedServers = Set.copyOf(triedServers);
  }
}
