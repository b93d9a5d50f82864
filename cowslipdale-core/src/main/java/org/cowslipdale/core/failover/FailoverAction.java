package org.cowslipdale.core.failover;

import org.cowslipdale.core.view.ViewCommand;
import org.jspecify.annotations.Nullable;

/** What a failover coordinator wants to be done; every result comes back as an event. */
public sealed interface FailoverAction {

  /**
   * Propose a command to the control log.
   *
   * @param command the command
   */
  record Propose(ViewCommand command) implements FailoverAction {}

  /**
   * Ask a server for its position.
   *
   * @param database the database
   * @param term the term that was begun
   * @param server the name of the server
   * @param address the address of the server
   * @param minOffset the offset that the server should reach before it answers
   * @param waitMillis how long it may wait for that, in milliseconds
   */
  record QueryPosition(
      String database, long term, String server, String address, long minOffset, long waitMillis)
      implements FailoverAction {}

  /**
   * Ask the outside service to promote a server.
   *
   * @param database the database
   * @param term the term
   * @param server the name of the server
   * @param fence the fence of the attempt
   */
  record RequestPromotion(String database, long term, String server, long fence) implements FailoverAction {}

  /**
   * Order a server into a term.
   *
   * @param database the database
   * @param term the term
   * @param server the name of the server
   * @param address the address of the server
   * @param primary the address of the primary to follow, or null to become the primary
   */
  record AssignRole(String database, long term, String server, String address, @Nullable String primary)
      implements FailoverAction {}
}
