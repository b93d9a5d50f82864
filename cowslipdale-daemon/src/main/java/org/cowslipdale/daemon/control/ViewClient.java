package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.failover.PrimaryMonitor;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseRequest;
import org.cowslipdale.daemon.peer.ViewUpdate;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews the lease of this VM at the control leader, applies updates of the view and registers the
 * VM.
 *
 * <p>Each request for a lease also carries the reports of this VM on primaries, positions and
 * permits. If the assumed leader does not lead or does not answer, the leader that it names or the
 * next voter is tried.
 *
 * <p>All methods run on the control thread.
 */
final class ViewClient {

  private static final long ANSWER_TIMEOUT_MILLIS = 400;
  private static final long RETRY_MILLIS = 100;
  private static final Logger LOG = LoggerFactory.getLogger(ViewClient.class);

  private final VmRecord self;
  private final ControlLink link;
  private final ViewHolder views;
  private final PrimaryMonitor primaryReports;
  private final FleetPositions positions;
  private final FleetPermits permits;
  private final ControlThread control;
  private final VmClock clock;
  private boolean requestPending;
  private boolean renewAgain;
  private boolean stopping;
  private long nextRenewalMillis;
  private boolean leaseLogged;

  ViewClient(
      VmRecord self,
      ControlLink link,
      ViewHolder views,
      PrimaryMonitor primaryReports,
      FleetPositions positions,
      FleetPermits permits,
      ControlThread control,
      VmClock clock) {
    this.self = requireNonNull(self, "self");
    this.link = requireNonNull(link, "link");
    this.views = requireNonNull(views, "views");
    this.primaryReports = requireNonNull(primaryReports, "primaryReports");
    this.positions = requireNonNull(positions, "positions");
    this.permits = requireNonNull(permits, "permits");
    this.control = requireNonNull(control, "control");
    this.clock = requireNonNull(clock, "clock");
  }

  void tick() {
    logLeaseChange();
    if (!requestPending && !stopping && clock.millis() >= nextRenewalMillis) {
      requestLease();
    }
  }

  /** Requests a lease without delay, or as soon as the pending request completes. */
  void renew() {
    if (requestPending) {
      renewAgain = true;
    } else if (!stopping) {
      requestLease();
    }
  }

  /** Records the control leader; renews the lease if it or the version of the view is new. */
  void handleViewUpdate(String leader, long version) {
    boolean otherLeader = !link.assumedLeader().equals(leader);
    link.setLeader(leader);
    if (otherLeader || version > views.get().view().version()) {
      renew();
    }
  }

  /** Releases the lease and stops renewing it, because this VM shuts down. */
  void release() {
    stopping = true;
    LeaseRequest request =
        new LeaseRequest(
            views.get().view().version(),
            List.of(),
            List.of(),
            clock.millis(),
            true,
            null,
            null,
            false);
    link.send(link.assumedLeader(), request);
  }

  private void requestLease() {
    requestPending = true;
    renewAgain = false;
    long now = clock.millis();
    nextRenewalMillis = now + LeaseTimings.RENEWAL_INTERVAL_MILLIS;
    String leader = link.assumedLeader();
    LeaseRequest request =
        new LeaseRequest(
            views.get().view().version(),
            primaryReports.unreachablePrimaries(now),
            primaryReports.reachablePrimaries(now),
            now,
            false,
            positions.createReport(now),
            permits.createReport(leader),
            true);
    link.request(leader, request, ANSWER_TIMEOUT_MILLIS)
        .whenComplete(
            (reply, failure) ->
                control.execute(
                    () -> {
                      requestPending = false;
                      if (reply instanceof LeaseReply lease) {
                        handleReply(leader, lease);
                      } else {
                        tryNextLeader(leader, null);
                      }
                      if (renewAgain && !stopping) {
                        requestLease();
                      }
                    }));
  }

  private void tryNextLeader(String leader, @Nullable String hint) {
    link.selectNextLeader(leader, hint);
    nextRenewalMillis = clock.millis() + RETRY_MILLIS;
  }

  private void handleReply(String leader, LeaseReply reply) {
    link.addVoters(reply.voters());
    if (!reply.granted() && reply.registered()) {
      tryNextLeader(leader, reply.leader());
      return;
    }
    if (reply.positions() != null) {
      positions.applyUpdate(reply.positions(), reply.requestSentMillis(), clock.millis());
    }
    ViewUpdate update;
    try {
      update = reply.update();
    } catch (IOException e) {
      LOG.warn("The update of the view from {} cannot be read: {}", leader, e.getMessage());
      tryNextLeader(leader, null);
      return;
    }
    View view = apply(update);
    boolean complete = view.version() >= update.targetVersion();
    long leaseEnd =
        reply.granted() && complete && !stopping
            ? reply.requestSentMillis() + LeaseTimings.LEASE_MILLIS
            : Long.MIN_VALUE;
    boolean changed = view.version() > views.get().view().version();
    if (view.document().version() > views.get().view().document().version()) {
      DecisionLog.line(LogEvent.CONFIGURATION_IN_FORCE)
          .with("configuration_version", view.document().version())
          .with("view_version", view.version())
          .with("leader", leader)
          .write();
    }
    logEvacuationChanges(view, leader);
    views.publish(view, leaseEnd, reply.callerVms(), clock.millis());
    if (!reply.registered() || !isRegistrationCurrent(view)) {
      link.send(leader, new PeerMessage.Registration(self));
      nextRenewalMillis = clock.millis() + RETRY_MILLIS;
    }
    renewAgain |= changed;
  }

  private void logEvacuationChanges(View next, String leader) {
    Set<String> before = views.get().view().evacuatedDomains();
    Set<String> changed = new TreeSet<>(before);
    changed.addAll(next.evacuatedDomains());
    changed.removeIf(domain -> before.contains(domain) == next.evacuatedDomains().contains(domain));
    for (String failureDomain : changed) {
      DecisionLog.line(LogEvent.EVACUATION_CHANGED)
          .with("phase", "in-force")
          .with("failure_domain", failureDomain)
          .with("evacuated", next.evacuatedDomains().contains(failureDomain))
          .with("view_version", next.version())
          .with("leader", leader)
          .write();
    }
  }

  private void logLeaseChange() {
    boolean holds = views.get().lease().isValid(clock.millis());
    if (holds != leaseLogged) {
      leaseLogged = holds;
      DecisionLog.line(holds ? LogEvent.LEASE_GAINED : LogEvent.LEASE_LOST)
          .with("view_version", views.get().view().version())
          .with("leader", link.assumedLeader())
          .write();
    }
  }

  private View apply(ViewUpdate update) {
    View current = views.get().view();
    if (update.view() != null) {
      return update.view().version() > current.version() ? update.view() : current;
    }
    if (update.fromVersion() != current.version()) {
      return current;
    }
    View next = current;
    for (ViewCommand command : update.commands()) {
      next = next.apply(command).view();
    }
    return next;
  }

  private boolean isRegistrationCurrent(View view) {
    VmRecord known = view.vms().get(self.name());
    return known != null
        && known.active()
        && known.failureDomain().equals(self.failureDomain())
        && known.region().equals(self.region())
        && known.peerAddress().equals(self.peerAddress())
        && known.servesCallers() == self.servesCallers();
  }
}
