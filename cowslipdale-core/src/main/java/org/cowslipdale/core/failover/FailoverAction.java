package org.cowslipdale.core.failover;

import java.util.Map;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.ViewCommand;
import org.jspecify.annotations.Nullable;

/**
 * An action that a {@link FailoverCoordinator} requests.
 *
 * <p>The caller carries the action out and reports the result to the coordinator.
 */
public sealed interface FailoverAction {

  /**
   * Proposes a command to the control log.
   *
   * @param command the command to propose
   */
  record Propose(ViewCommand command) implements FailoverAction {}

  /**
   * Queries the log position of a server.
   *
   * @param database the database
   * @param term the term for which the position is queried
   * @param server the name of the server
   * @param address the address of the server
   * @param minOffset the offset that the server should reach before it replies
   * @param waitMillis how long the server may wait for that offset, in milliseconds
   */
  record QueryPosition(
      String database, long term, String server, String address, long minOffset, long waitMillis)
      implements FailoverAction {}

  /**
   * Requests that the external service promote a server.
   *
   * @param database the database
   * @param term the term that the server is to lead
   * @param server the name of the server
   * @param fence the fencing token of the attempt
   * @param positions the log positions by which the server was chosen, by server; empty if it is
   *     the existing primary of the group
   * @param mayLackCommits whether the server may lack commits that synchronous replicas stored
   */
  record RequestPromotion(
      String database,
      long term,
      String server,
      long fence,
      Map<String, LogPosition> positions,
      boolean mayLackCommits)
      implements FailoverAction {

    /** Copies the map. */
    public RequestPromotion {
      positions = Map.copyOf(positions);
    }
  }

  /**
   * Assigns a role in a term to a server.
   *
   * @param database the database
   * @param term the term
   * @param server the name of the server
   * @param address the address of the server
   * @param primary the address of the primary to follow, or null to become the primary
   */
  record AssignRole(
      String database, long term, String server, String address, @Nullable String primary)
      implements FailoverAction {}
}
