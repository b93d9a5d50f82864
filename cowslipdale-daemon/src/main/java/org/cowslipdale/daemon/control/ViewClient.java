package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.failover.PrimaryMonitor;
import org.cowslipdale.core.routing.FleetPositions;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseReply;
import org.cowslipdale.daemon.peer.PeerMessage.LeaseRequest;
import org.cowslipdale.daemon.telemetry.DecisionLog;
import org.cowslipdale.daemon.telemetry.LogEvent;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Keeps this VM's view up to date and its lease valid, and registers the VM.
 *
 * <p>All methods run on the control thread.
 */
final class ViewClient {

  private static final long ANSWER_TIMEOUT_MILLIS = 400;
  private static final long RETRY_MILLIS = 100;

  private final VmRecord self;
  private final ControlLink link;
  private final ViewHolder holder;
  private final PrimaryMonitor probe;
  private final FleetPositions positions;
  private final FleetPermits permits;
  private final ControlThread control;
  private final VmClock clock;
  private boolean asking;
  private boolean askAgain;
  private boolean stopping;
  private long nextMillis;
  private boolean leased;

  ViewClient(
      VmRecord self,
      ControlLink link,
      ViewHolder holder,
      PrimaryMonitor probe,
      FleetPositions positions,
      FleetPermits permits,
      ControlThread control,
      VmClock clock) {
    this.self = requireNonNull(self, "self");
    this.link = requireNonNull(link, "link");
    this.holder = requireNonNull(holder, "holder");
    this.probe = requireNonNull(probe, "probe");
    this.positions = requireNonNull(positions, "positions");
    this.permits = requireNonNull(permits, "permits");
    this.control = requireNonNull(control, "control");
    this.clock = requireNonNull(clock, "clock");
  }

  void tick() {
    logLease();
    if (!asking && !stopping && clock.millis() >= nextMillis) {
      ask();
    }
  }

  /** Renews at once, because something changed. */
  void renew() {
    if (asking) {
      askAgain = true;
    } else if (!stopping) {
      ask();
    }
  }

  /** Takes in who leads and which version exists. */
  void news(String leader, long version) {
    boolean otherLeader = !link.leader().equals(leader);
    link.leaderIs(leader);
    if (otherLeader || version > holder.get().view().version()) {
      renew();
    }
  }

  /** Gives the lease back, because this VM stops. */
  void release() {
    stopping = true;
    LeaseRequest request =
        new LeaseRequest(
            holder.get().view().version(), List.of(), List.of(), clock.millis(), true, null, null);
    link.send(link.leader(), request);
  }

  private void ask() {
    asking = true;
    askAgain = false;
    long now = clock.millis();
    nextMillis = now + LeaseTimings.RENEWAL_INTERVAL_MILLIS;
    String leader = link.leader();
    LeaseRequest request =
        new LeaseRequest(
            holder.get().view().version(),
            probe.unreachablePrimaries(now),
            probe.reachablePrimaries(now),
            now,
            false,
            positions.createReport(now),
            permits.statement(leader));
    link.ask(leader, request, ANSWER_TIMEOUT_MILLIS)
        .whenComplete(
            (reply, failure) ->
                control.execute(
                    () -> {
                      asking = false;
                      if (reply instanceof LeaseReply lease) {
                        received(leader, lease);
                      } else {
                        wrongLeader(leader, null);
                      }
                      if (askAgain && !stopping) {
                        ask();
                      }
                    }));
  }

  private void wrongLeader(String leader, @Nullable String hint) {
    link.leaderIsNot(leader, hint);
    nextMillis = clock.millis() + RETRY_MILLIS;
  }

  private void received(String leader, LeaseReply reply) {
    link.learn(reply.voters());
    if (!reply.granted() && reply.registered()) {
      wrongLeader(leader, reply.leader());
      return;
    }
    if (reply.positions() != null) {
      positions.applyUpdate(reply.positions(), reply.requestSentMillis(), clock.millis());
    }
    View view = updated(reply);
    boolean complete = view.version() >= targetVersion(reply);
    long leaseEnd =
        reply.granted() && complete && !stopping
            ? reply.requestSentMillis() + LeaseTimings.LEASE_MILLIS
            : Long.MIN_VALUE;
    boolean changed = view.version() > holder.get().view().version();
    if (view.document().version() > holder.get().view().document().version()) {
      DecisionLog.line(LogEvent.CONFIGURATION_IN_FORCE)
          .with("configuration_version", view.document().version())
          .with("view_version", view.version())
          .with("leader", leader)
          .write();
    }
    holder.publish(view, leaseEnd, reply.callerVms());
    if (!reply.registered() || !isRegisteredAsIs(view)) {
      link.send(leader, new PeerMessage.Registration(self));
      nextMillis = clock.millis() + RETRY_MILLIS;
    }
    askAgain |= changed;
  }

  private void logLease() {
    boolean holds = holder.get().lease().isValid(clock.millis());
    if (holds != leased) {
      leased = holds;
      DecisionLog.line(holds ? LogEvent.LEASE_GAINED : LogEvent.LEASE_LOST)
          .with("view_version", holder.get().view().version())
          .with("leader", link.leader())
          .write();
    }
  }

  private View updated(LeaseReply reply) {
    View current = holder.get().view();
    if (reply.view() != null) {
      return reply.view().version() > current.version() ? reply.view() : current;
    }
    if (reply.fromVersion() != current.version()) {
      return current;
    }
    View next = current;
    for (ViewCommand command : reply.commands()) {
      next = next.apply(command).view();
    }
    return next;
  }

  private static long targetVersion(LeaseReply reply) {
    return reply.view() != null
        ? reply.view().version()
        : reply.fromVersion() + reply.commands().size();
  }

  private boolean isRegisteredAsIs(View view) {
    VmRecord known = view.vms().get(self.name());
    return known != null
        && known.active()
        && known.failureDomain().equals(self.failureDomain())
        && known.region().equals(self.region())
        && known.peerAddress().equals(self.peerAddress())
        && known.servesCallers() == self.servesCallers();
  }
}
