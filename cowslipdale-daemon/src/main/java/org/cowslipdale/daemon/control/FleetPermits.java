package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.cowslipdale.core.control.LeaseTimings;
import org.cowslipdale.core.permit.HeldPermits;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.permit.PermitReport;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerMessage.PermitReply;
import org.cowslipdale.daemon.session.ConnectionPermits;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Requests permits for connections from the control leader where a server accepts fewer connections
 * than there are VMs.
 *
 * <p>Statements that wait for permits of the same server share one demand, so that the number of
 * demands does not grow with the number of waiting statements.
 *
 * <p>A VM without a lease retains its permits for as long as it may serve customers. After that it
 * closes its connections as soon as they are idle, because the leader will grant the permits to
 * other VMs.
 */
final class FleetPermits implements ConnectionPermits {

  /** Longer than the leader lets a demand wait plus a round trip between regions. */
  private static final long ANSWER_TIMEOUT_MILLIS = 400;

  private static final long RETRY_PAUSE_MILLIS = 10;

  /**
   * The minimum time between two demands for the same permit. A leader without free permits answers
   * later than that; a VM that answers sooner does not lead.
   */
  private static final long MIN_DEMAND_INTERVAL_MILLIS = 150;

  private final ControlLink link;
  private final ViewHolder views;
  private final VmClock clock;
  private final HeldPermits permits = new HeldPermits(ThreadLocalRandom.current().nextLong());
  private final ConcurrentMap<DemandKey, CompletableFuture<PermitResult>> pendingDemands =
      new ConcurrentHashMap<>();
  private volatile Consumer<String> closeIdle = server -> {};

  /** Whether the leader may count permits that this VM abandoned since its latest report. */
  private volatile boolean reportOutdated;

  /** Statements with the same key share a demand. */
  private record DemandKey(String server, @Nullable Integer priority) {}

  FleetPermits(ControlLink link, ViewHolder views, VmClock clock) {
    this.link = requireNonNull(link, "link");
    this.views = requireNonNull(views, "views");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Sets the action that closes the idle connections to a server. */
  void setCloseIdle(Consumer<String> action) {
    closeIdle = action;
  }

  @Override
  public boolean tryUse(String server, int share) {
    return permits.tryUse(server, share);
  }

  @Override
  public void recordClosed(String server) {
    permits.recordClosed(server);
  }

  @Override
  public boolean mustClose(String server, int share) {
    return permits.isExceeded(server, share)
        || (permits.isPermitRequired(server) && !mayServeCustomers());
  }

  @Override
  public PermitResult requestPermit(String server, int capacity) {
    return request(server, capacity, null);
  }

  @Override
  public PermitResult requestPermit(String server, int capacity, int priority) {
    return request(server, capacity, priority);
  }

  private PermitResult request(String server, int capacity, @Nullable Integer priority) {
    if (!permits.isPermitRequired(server) || !mayServeCustomers()) {
      pause(RETRY_PAUSE_MILLIS);
      return PermitResult.REFUSED;
    }
    DemandKey key = new DemandKey(server, priority);
    CompletableFuture<PermitResult> result = new CompletableFuture<>();
    CompletableFuture<PermitResult> pending = pendingDemands.putIfAbsent(key, result);
    if (pending != null) {
      return pending.join();
    }
    try {
      result.complete(sendAndPause(permits.createDemand(server, capacity, priority)));
    } finally {
      pendingDemands.remove(key);
      result.complete(PermitResult.UNANSWERED);
    }
    return result.join();
  }

  /** Sends a demand, and pauses if it was not granted. */
  private PermitResult sendAndPause(PermitDemand demand) {
    long sentMillis = clock.millis();
    PermitResult result = send(demand);
    if (result != PermitResult.GRANTED) {
      long nextMillis = sentMillis + MIN_DEMAND_INTERVAL_MILLIS;
      pause(Math.max(RETRY_PAUSE_MILLIS, nextMillis - clock.millis()));
    }
    return result;
  }

  private PermitResult send(PermitDemand demand) {
    PermitResult result =
        link.request(
                link.assumedLeader(), new PeerMessage.PermitRequest(demand), ANSWER_TIMEOUT_MILLIS)
            .handle((reply, failure) -> toResult(reply))
            .join();
    permits.settle(demand, result == PermitResult.GRANTED);
    if (result == PermitResult.UNANSWERED) {
      reportOutdated = true;
    }
    return result;
  }

  private static PermitResult toResult(@Nullable PeerMessage reply) {
    if (reply instanceof PermitReply answer) {
      return answer.granted() ? PermitResult.GRANTED : PermitResult.REFUSED;
    }
    return PermitResult.UNANSWERED;
  }

  /**
   * Creates the report on the permits that this VM holds.
   *
   * @param leader the control leader that receives the report
   * @return the report, or {@code null} if some connections are not covered by permits
   */
  @Nullable PermitReport createReport(String leader) {
    reportOutdated = false;
    return permits.hasPermitsForAllConnections() ? permits.createReport(leader) : null;
  }

  /** Closes the idle connections to a server and releases the permits that no connection uses. */
  void handleRecall(String server) {
    closeIdle.accept(server);
    if (permits.releaseUnused(server) || reportOutdated) {
      reportOutdated = false;
      String leader = link.assumedLeader();
      link.send(leader, new PeerMessage.PermitReturn(permits.createReport(leader)));
    }
  }

  /** Releases the unused permits once this VM may not serve customers. */
  void tick() {
    if (!mayServeCustomers()) {
      permits.serversRequiringPermits().forEach(closeIdle);
      permits.releaseAllUnused();
    }
  }

  private boolean mayServeCustomers() {
    long now = clock.millis();
    return views.get().lease().expiredForMillis(now) < LeaseTimings.KEY_GRACE_MILLIS;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
