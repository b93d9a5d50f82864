package org.cowslipdale.core.failover;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;

/**
 * Coordinates the changes of primary of all databases. A new instance is created each time a VM
 * becomes the control leader.
 *
 * <p>This class is confined to one thread.
 */
public final class FailoverCoordinator {

  private final PromotionMode promotionMode;
  private final Map<String, GroupFailover> groups = new HashMap<>();
  private final Map<String, List<PrimaryTerm>> unreachableByVm = new HashMap<>();
  private final Map<PrimaryTerm, Set<String>> reportingVms = new HashMap<>();
  private final Map<String, List<PrimaryTerm>> reachableByVm = new HashMap<>();
  private final Map<String, Long> termVersions = new HashMap<>();

  /** Creates a coordinator that assigns roles to the servers directly. */
  public FailoverCoordinator() {
    this(new PromotionMode.ByServer());
  }

  /**
   * Creates a coordinator.
   *
   * @param promotionMode how promotions are carried out
   */
  public FailoverCoordinator(PromotionMode promotionMode) {
    this.promotionMode = requireNonNull(promotionMode, "promotionMode");
  }

  /**
   * Replaces the report of a VM about unreachable primaries.
   *
   * @param vm the name of the VM
   * @param unreachable the primaries that the VM cannot reach
   */
  public void updateReports(String vm, List<PrimaryTerm> unreachable) {
    List<PrimaryTerm> previous = unreachableByVm.put(vm, List.copyOf(unreachable));
    if (previous != null) {
      previous.forEach(primary -> removeReport(vm, primary));
    }
    for (PrimaryTerm primary : unreachable) {
      reportingVms.computeIfAbsent(primary, key -> new HashSet<>()).add(vm);
    }
  }

  /**
   * Replaces the report of a VM about the primaries that it uses.
   *
   * @param vm the name of the VM
   * @param unreachable the primaries that the VM cannot reach
   * @param reachable the primaries that answered the VM recently
   */
  public void updateReports(String vm, List<PrimaryTerm> unreachable, List<PrimaryTerm> reachable) {
    updateReports(vm, unreachable);
    reachableByVm.put(vm, List.copyOf(reachable));
  }

  /**
   * Advances the changes of primary of all databases, and begins new ones where needed.
   *
   * @param view the current view
   * @param registry the known backend servers
   * @param leaseHolders the VMs that may hold a lease
   * @param inForce returns whether a version of the view is in force on every VM
   * @param now the current time on the leader's monotonic clock, in milliseconds
   * @return the actions to carry out
   */
  public List<FailoverAction> tick(
      View view,
      BackendRegistry registry,
      Set<String> leaseHolders,
      LongPredicate inForce,
      long now) {
    List<FailoverAction> actions = new ArrayList<>();
    groups.keySet().retainAll(view.configuration().databases().keySet());
    for (Database database : view.configuration().databases().values()) {
      String name = database.name();
      GroupFailover group =
          groups.computeIfAbsent(name, key -> new GroupFailover(key, promotionMode));
      actions.addAll(
          group.tick(
              new GroupFailover.Situation(
                  database,
                  view.database(name),
                  registry.group(name),
                  isSuspect(view, name, leaseHolders),
                  isTermInForce(view, name, inForce),
                  view.evacuatedDomains(),
                  CandidatePreference.of(view, name, now),
                  now)));
    }
    return actions;
  }

  /**
   * Records the version of the view at which the term of a database changed.
   *
   * @param database the database
   * @param version the version of the view
   */
  public void recordTermVersion(String database, long version) {
    termVersions.put(database, version);
  }

  /**
   * Records the log position of a server.
   *
   * @param database the database
   * @param term the term for which the position was queried
   * @param server the name of the server
   * @param position the log position of the server
   */
  public void recordPosition(String database, long term, String server, LogPosition position) {
    GroupFailover group = groups.get(database);
    if (group != null) {
      group.recordPosition(term, server, position);
    }
  }

  /**
   * Handles the confirmation of a server that it is the primary of a term.
   *
   * @param database the database
   * @param term the term
   * @param server the name of the server
   * @param startOffset the log offset at which the server began to write
   * @param now the current time on the leader's monotonic clock, in milliseconds
   * @return the proposal that completes the term, or empty if the confirmation is outdated
   */
  public Optional<FailoverAction> confirmPromotion(
      String database, long term, String server, long startOffset, long now) {
    GroupFailover group = groups.get(database);
    return group == null
        ? Optional.empty()
        : group.confirmPromotion(term, server, startOffset, now);
  }

  /**
   * Handles the reply of the external service to a promotion request.
   *
   * @param request the promotion request
   * @param accepted whether the service accepted the request; false if it rejected it
   * @param now the current time on the leader's monotonic clock, in milliseconds
   */
  public void handlePromotionReply(
      FailoverAction.RequestPromotion request, boolean accepted, long now) {
    GroupFailover group = groups.get(request.database());
    if (group != null) {
      group.handlePromotionReply(request, accepted, now);
    }
  }

  private void removeReport(String vm, PrimaryTerm primary) {
    Set<String> vms = reportingVms.get(primary);
    if (vms != null && vms.remove(vm) && vms.isEmpty()) {
      reportingVms.remove(primary);
    }
  }

  /**
   * Returns whether the primary of a database is suspected to have failed.
   *
   * <p>If the servers are promoted directly, this is the case when a majority of the probing VMs
   * that hold a lease cannot reach the primary.
   */
  private boolean isSuspect(View view, String database, Set<String> leaseHolders) {
    PrimaryTerm primary = new PrimaryTerm(database, view.database(database).term());
    Set<String> reporting = reportingVms.get(primary);
    if (reporting == null) {
      return false;
    }
    if (promotionMode instanceof PromotionMode.ByService) {
      return hasMoreFailuresThanAnswers(primary, reporting, leaseHolders);
    }
    int probers = 0;
    int failed = 0;
    for (String vm : ProbeAssignment.probers(view, database)) {
      if (leaseHolders.contains(vm)) {
        probers++;
        failed += reporting.contains(vm) ? 1 : 0;
      }
    }
    return failed * 2 > probers;
  }

  /**
   * Compares the reports of the VMs that use the primary and hold a lease. A VM that reaches the
   * primary counts as much as one that does not.
   */
  private boolean hasMoreFailuresThanAnswers(
      PrimaryTerm primary, Set<String> reporting, Set<String> leaseHolders) {
    long failed = leaseHolders.stream().filter(reporting::contains).count();
    long answered =
        leaseHolders.stream()
            .filter(vm -> reachableByVm.getOrDefault(vm, List.of()).contains(primary))
            .count();
    return failed > answered;
  }

  private boolean isTermInForce(View view, String database, LongPredicate inForce) {
    return inForce.test(termVersions.getOrDefault(database, view.version()));
  }
}
