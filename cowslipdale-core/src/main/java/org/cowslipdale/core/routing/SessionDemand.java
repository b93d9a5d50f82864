package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.cowslipdale.core.placement.HomeRegions;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Freshness;

/**
 * The requirements of a statement or transaction of a session on the server that runs it.
 *
 * @param customer the name of the customer whose connection is used
 * @param write whether the statement or transaction may write
 * @param freshness how recent the data of its reads must be
 * @param sessionPosition the log position of the session's latest commit
 * @param triedServers the names of the servers that have already rejected it
 * @param homeRegions the regions in which its data may be handled
 * @param sendLimit limits how often statements are sent to a server
 * @param priority the priority of its route; 0 is the highest
 * @param synchronouslyReplicated whether replicas store a commit of the database before it is
 *     acknowledged
 */
public record SessionDemand(
    String customer,
    boolean write,
    Freshness freshness,
    LogPosition sessionPosition,
    Set<String> triedServers,
    HomeRegions homeRegions,
    SendLimit sendLimit,
    int priority,
    boolean synchronouslyReplicated) {

  /** Copies the set and checks that no component is null. */
  public SessionDemand {
    requireNonNull(customer, "customer");
    requireNonNull(freshness, "freshness");
    requireNonNull(sessionPosition, "sessionPosition");
    triedServers = Set.copyOf(triedServers);
    requireNonNull(homeRegions, "homeRegions");
    requireNonNull(sendLimit, "sendLimit");
  }

  /**
   * Creates the requirements of a statement of the highest priority that no limit and no home
   * region restricts, to a database without synchronous replicas.
   *
   * @param customer the name of the customer whose connection is used
   * @param write whether the statement or transaction may write
   * @param freshness how recent the data of its reads must be
   * @param sessionPosition the log position of the session's latest commit
   * @param triedServers the names of the servers that have already rejected it
   */
  public SessionDemand(
      String customer,
      boolean write,
      Freshness freshness,
      LogPosition sessionPosition,
      Set<String> triedServers) {
    this(
        customer,
        write,
        freshness,
        sessionPosition,
        triedServers,
        HomeRegions.EVERYWHERE,
        SendLimit.NONE,
        0,
        false);
  }
}
