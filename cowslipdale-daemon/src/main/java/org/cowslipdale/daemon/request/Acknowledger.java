package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.ServerStatus;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.Acknowledgement;
import org.cowslipdale.core.view.DatabaseState;
import org.cowslipdale.core.view.WorkClass;
import org.cowslipdale.daemon.connection.BackendException;
import org.cowslipdale.daemon.version.CurrentView;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;

/** Decides whether a write that a primary has run may be acknowledged to its caller. */
final class Acknowledger {

  /** How often a write that waits for replication checks that its primary is not replaced. */
  private static final long PRIMARY_CHECK_MILLIS = 25;

  private final ViewHolder views;
  private final Backends backends;
  private final VmClock clock;

  Acknowledger(ViewHolder views, Backends backends, VmClock clock) {
    this.views = requireNonNull(views, "views");
    this.backends = requireNonNull(backends, "backends");
    this.clock = requireNonNull(clock, "clock");
  }

  /**
   * Waits for the replication that the class asks for, then checks the lease once more.
   *
   * @throws RefusalException if the write ran but may not be acknowledged
   */
  void acknowledge(String database, WorkClass workClass, String server, BackendAnswer answer)
      throws RefusalException {
    if (workClass.acknowledgement() == Acknowledgement.REPLICATED) {
      awaitReplication(database, server, answer, workClass.runLimitMillis());
    }
    if (!isCurrentPrimary(database, server, answer.term())) {
      throw new RefusalException(
          ResultCode.OUTCOME_UNKNOWN, "The lease or the primary changed while the write ran.");
    }
  }

  /** Tells whether a server is the primary of a term under a valid lease. */
  boolean isCurrentPrimary(String database, String server, long term) {
    CurrentView current = views.get();
    DatabaseState state = current.view().database(database);
    return current.lease().isValid(clock.millis())
        && state.term() == term
        && server.equals(state.primary());
  }

  private void awaitReplication(
      String database, String primary, BackendAnswer answer, long timeoutMillis)
      throws RefusalException {
    int needed = views.get().view().configuration().databases().get(database).majority() - 1;
    Semaphore confirmed = new Semaphore(0);
    for (BackendServer replica : replicas(database, primary)) {
      Thread.startVirtualThread(
          () -> {
            if (hasApplied(replica, answer, timeoutMillis)) {
              confirmed.release();
            }
          });
    }
    long deadline = clock.millis() + timeoutMillis;
    while (!awaitConfirmations(confirmed, needed)) {
      if (clock.millis() >= deadline) {
        throw new RefusalException(ResultCode.REPLICATION_UNCONFIRMED);
      }
      if (!isCurrentPrimary(database, primary, answer.term())) {
        throw new RefusalException(
            ResultCode.OUTCOME_UNKNOWN, "The primary was replaced before the write replicated.");
      }
    }
  }

  private static boolean awaitConfirmations(Semaphore confirmed, int needed) throws RefusalException {
    try {
      return confirmed.tryAcquire(needed, PRIMARY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new RefusalException(ResultCode.REPLICATION_UNCONFIRMED);
    }
  }

  private List<BackendServer> replicas(String database, String primary) {
    List<BackendServer> replicas =
        new ArrayList<>(backends.registry().group(database).servers().values());
    replicas.removeIf(server -> server.name().equals(primary));
    return replicas;
  }

  private boolean hasApplied(BackendServer replica, BackendAnswer answer, long timeoutMillis) {
    try {
      ServerStatus status =
          backends
              .connector()
              .awaitOffset(replica.announcement().address(), answer.offset(), timeoutMillis);
      return status.term() == answer.term() && status.offset() >= answer.offset();
    } catch (BackendException e) {
      return false;
    }
  }
}
