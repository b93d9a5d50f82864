package org.cowslipdale.core.failover;

import java.util.Collection;
import org.cowslipdale.core.session.LogPosition;

/**
 * Decides from the known log positions of a group which servers hold every acknowledged commit.
 *
 * <p>With synchronous replicas, a commit is acknowledged once the primary and that many replicas
 * have stored it. A server lacks no such commit if at most as many servers as there are synchronous
 * replicas may be ahead of it. A server whose position is not known may be ahead.
 *
 * @param servers the number of servers that may hold commits, including the primary
 * @param synchronousReplicas the number of replicas that store a commit before it is acknowledged
 */
record CommitQuorum(int servers, int synchronousReplicas) {

  /** Returns how many positions must be known before any server can be said to be complete. */
  int requiredPositions() {
    return synchronousReplicas == 0 ? 1 : Math.max(1, servers - synchronousReplicas);
  }

  /**
   * Returns whether a server holds every acknowledged commit. Without synchronous replicas nothing
   * is promised, so this is true of every server.
   *
   * @param position the position of the server
   * @param known the known positions of the group, including that of the server
   */
  boolean includesEveryCommit(LogPosition position, Collection<LogPosition> known) {
    return synchronousReplicas == 0
        || known.stream().filter(other -> other.compareTo(position) <= 0).count()
            >= requiredPositions();
  }
}
