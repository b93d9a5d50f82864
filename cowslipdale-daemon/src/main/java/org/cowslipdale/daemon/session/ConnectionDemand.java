package org.cowslipdale.daemon.session;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.admission.RequestProfile;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.cowslipdale.daemon.version.CurrentView;
import org.jspecify.annotations.Nullable;

/**
 * A demand of a statement for a slot and a connection.
 *
 * @param server the server
 * @param current the view and the lease of the VM
 * @param profile the customer on whose behalf the connection is used, and what decides its order
 * @param homeRegions the regions in which the data of the statement may be handled; empty if it is
 *     not restricted
 * @param values the values of the session, which do not change while the demand is in use
 * @param prepared the prepared statement that is executed first on the connection, or null
 * @param singleRead whether the connection is used for one statement that only reads
 * @param relayable whether a gateway may hold the connection
 * @param slotDeadlineMillis the time on the VM's monotonic clock until which to wait for a slot and
 *     a permit
 * @param deadlineMillis the time on the VM's monotonic clock by which a connection must be open
 * @param waits records the time spent waiting
 */
public record ConnectionDemand(
    BackendServer server,
    CurrentView current,
    RequestProfile profile,
    Set<String> homeRegions,
    Map<String, String> values,
    @Nullable PreparedStatement prepared,
    boolean singleRead,
    boolean relayable,
    long slotDeadlineMillis,
    long deadlineMillis,
    StatementWaits waits) {

  /** Copies the regions and checks the required components. */
  public ConnectionDemand {
    requireNonNull(server, "server");
    requireNonNull(current, "current");
    requireNonNull(profile, "profile");
    homeRegions = Set.copyOf(homeRegions);
    requireNonNull(values, "values");
    requireNonNull(waits, "waits");
  }

  String customer() {
    return profile.customer();
  }

  int priority() {
    return profile.priority();
  }

  String database() {
    return server.announcement().database();
  }
}
