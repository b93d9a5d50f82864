package org.cowslipdale.core.routing;

import static java.util.Objects.requireNonNull;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.BackoffPolicy;
import org.cowslipdale.core.backend.ServerCapacity;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.statement.ServerFailure;
import org.jspecify.annotations.Nullable;

/**
 * Chooses among the servers that may run a read the one that is expected to complete it first, and
 * records what answers show about the capacity of servers.
 */
public final class CapacityPlacement {

  /** The time of a request to another region and back: twice the 30 ms of one direction. */
  private static final long REGION_MILLIS = 60;

  /** The time for which opening a connection occupies a slot of a server. */
  private static final double CONNECT_MILLIS = 12;

  /**
   * Servers whose expected time exceeds the best by at most this factor count as equal, so that
   * variation of the estimates does not move a VM away from servers to which it has connections.
   */
  private static final double TIE_FACTOR = 1.2;

  private final String vm;
  private final String failureDomain;
  private final String region;
  private final ServerLoad load;
  private final BackoffPolicy backoff;
  private final ServerCapacity capacity;

  /**
   * Creates an instance.
   *
   * @param vm the name of this VM
   * @param failureDomain the failure domain of this VM
   * @param region the region of this VM
   * @param load the load of servers as seen by this VM
   * @param backoff the servers that reported that they are busy
   * @param capacity the estimates for servers
   */
  public CapacityPlacement(
      String vm,
      String failureDomain,
      String region,
      ServerLoad load,
      BackoffPolicy backoff,
      ServerCapacity capacity) {
    this.vm = requireNonNull(vm, "vm");
    this.failureDomain = requireNonNull(failureDomain, "failureDomain");
    this.region = requireNonNull(region, "region");
    this.load = requireNonNull(load, "load");
    this.backoff = requireNonNull(backoff, "backoff");
    this.capacity = requireNonNull(capacity, "capacity");
  }

  private record Candidate(BackendServer server, double expectedMillis, double optimisticMillis) {}

  /**
   * Chooses a server, and records the choice. A server that was not preferred for some time is
   * chosen now and then if it would be the best one after its recovery.
   *
   * @param eligible the servers that may run the read
   * @param customer the customer whose connection is used
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public Optional<BackendServer> choose(List<BackendServer> eligible, String customer, long now) {
    List<BackendServer> accepting =
        eligible.stream().filter(server -> !backoff.isOverloaded(server.name(), now)).toList();
    List<Candidate> candidates =
        (accepting.isEmpty() ? eligible : accepting)
            .stream().map(server -> rate(server, customer)).toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double best = candidates.stream().mapToDouble(Candidate::expectedMillis).min().orElseThrow();
    BackendServer chosen =
        candidates.stream()
            .filter(candidate -> candidate.optimisticMillis() <= TIE_FACTOR * best)
            .filter(candidate -> candidate.expectedMillis() > TIE_FACTOR * best)
            .map(Candidate::server)
            .filter(server -> capacity.isProbeDue(server.name(), now))
            .findFirst()
            .orElseGet(() -> preferred(candidates, best));
    capacity.chosen(chosen.name(), candidates.stream().map(c -> c.server().name()).toList());
    return Optional.of(chosen);
  }

  /**
   * Records what the answer to a statement shows about the server.
   *
   * @param server the server
   * @param statementClass the class of the statement
   * @param failure the failure that the server reported, or null if there was none
   * @param millis the time from sending the statement to the answer
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void recordAnswer(
      BackendServer server,
      String statementClass,
      @Nullable ServerFailure failure,
      long millis,
      long now) {
    int slots = server.announcement().slots();
    long serverMillis = isInRegion(server) ? millis : millis - REGION_MILLIS;
    switch (failure) {
      case null ->
          capacity.served(
              server.name(),
              statementClass,
              serverMillis,
              slots,
              load.outstanding(server.name()),
              now);
      case BUSY -> capacity.rejected(server.name(), slots, now);
      case TIMED_OUT -> capacity.timedOut(server.name(), serverMillis, slots, now);
      case FAILED, OTHER -> capacity.failed(server.name(), slots, now);
      case BEHIND,
          NOT_PRIMARY,
          NOT_PREPARED,
          WRONG_SERVER,
          TOO_MANY_CONNECTIONS,
          INVALID,
          ABORTED -> {
        // The state of the server's log, or the statement, caused these, not its capacity.
      }
    }
  }

  /**
   * Records that a server did not answer a statement.
   *
   * @param server the server
   * @param millis how long the answer was awaited
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void recordUnanswered(BackendServer server, long millis, long now) {
    capacity.timedOut(server.name(), millis, server.announcement().slots(), now);
  }

  private Candidate rate(BackendServer server, String customer) {
    int slots = server.announcement().slots();
    int outstanding = load.outstanding(server.name());
    double connect =
        load.hasIdleConnection(server.name(), customer)
            ? 0
            : CONNECT_MILLIS / capacity.estimate(server.name(), slots).limit();
    double fixed = connect + (isInRegion(server) ? 0 : REGION_MILLIS);
    return new Candidate(
        server,
        fixed + capacity.expectedMillis(server.name(), slots, outstanding),
        fixed + capacity.optimisticMillis(slots, outstanding));
  }

  private BackendServer preferred(List<Candidate> candidates, double best) {
    return candidates.stream()
        .filter(candidate -> candidate.expectedMillis() <= TIE_FACTOR * best)
        .map(Candidate::server)
        .min(
            Comparator.comparing(
                    (BackendServer server) ->
                        !server.announcement().failureDomain().equals(failureDomain))
                .thenComparingLong(server -> Placement.score(vm, server.name())))
        .orElseThrow();
  }

  private boolean isInRegion(BackendServer server) {
    return server.announcement().region().equals(region);
  }
}
