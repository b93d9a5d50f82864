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
 * Conducts the changes of primary of all databases; one instance lives for one leadership.
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

  /** Creates a coordinator that orders the servers itself. */
  public FailoverCoordinator() {
    this(new PromotionMode.ByServer());
  }

  /**
   * Creates a coordinator.
   *
   * @param promotion who carries promotions out
   */
  public FailoverCoordinator(PromotionMode promotion) {
    this.promotionMode = requireNonNull(promotion, "promotion");
  }

  /**
   * Replaces the reports of a VM.
   *
   * @param vm the name of the VM
   * @param current the primaries that it cannot reach
   */
  public void updateReports(String vm, List<PrimaryTerm> current) {
    List<PrimaryTerm> before = unreachableByVm.put(vm, List.copyOf(current));
    if (before != null) {
      before.forEach(report -> removeReport(vm, report));
    }
    for (PrimaryTerm report : current) {
      reportingVms.computeIfAbsent(report, key -> new HashSet<>()).add(vm);
    }
  }

  /**
   * Replaces what a VM reports of the primaries that it uses.
   *
   * @param vm the name of the VM
   * @param failing the primaries that it cannot reach
   * @param answering the primaries that answered it a moment ago
   */
  public void updateReports(String vm, List<PrimaryTerm> failing, List<PrimaryTerm> answering) {
    updateReports(vm, failing);
    reachableByVm.put(vm, List.copyOf(answering));
  }

  /**
   * Advances all changes of primary.
   *
   * @param view the view
   * @param registry the known backend servers
   * @param leaseHolders the VMs that may hold a lease
   * @param inForce tells whether a version of the view is in force
   * @param now the present time on the leader's monotonic clock, in milliseconds
   * @return what is to be done
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
      GroupFailover group = groups.computeIfAbsent(name, key -> new GroupFailover(key, promotionMode));
      actions.addAll(
          group.tick(
              new GroupFailover.Situation(
                  database,
                  view.database(name),
                  registry.group(name),
                  isSuspect(view, name, leaseHolders),
                  isTermInForce(view, name, inForce),
                  now)));
    }
    return actions;
  }

  /**
   * Takes in the version of the view at which a database's term changed.
   *
   * @param database the database
   * @param version the version of the view
   */
  public void recordTermVersion(String database, long version) {
    termVersions.put(database, version);
  }

  /**
   * Takes in the position of a server.
   *
   * @param database the database
   * @param term the term for which the position was asked
   * @param server the name of the server
   * @param position its position
   */
  public void recordPosition(String database, long term, String server, LogPosition position) {
    GroupFailover group = groups.get(database);
    if (group != null) {
      group.recordPosition(term, server, position);
    }
  }

  /**
   * Takes in a server's confirmation that it is the primary of a term.
   *
   * @param database the database
   * @param term the term
   * @param server the name of the server
   * @param startOffset the log offset at which it began to write
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public Optional<FailoverAction> confirmPromotion(
      String database, long term, String server, long startOffset, long now) {
    GroupFailover group = groups.get(database);
    return group == null ? Optional.empty() : group.confirmPromotion(term, server, startOffset, now);
  }

  /**
   * Takes in the answer of the outside service to a promotion.
   *
   * @param asked the promotion
   * @param accepted whether the service accepted it; false if it refused it
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public void handlePromotionReply(FailoverAction.RequestPromotion asked, boolean accepted, long now) {
    GroupFailover group = groups.get(asked.database());
    if (group != null) {
      group.handlePromotionReply(asked, accepted, now);
    }
  }

  private void removeReport(String vm, PrimaryTerm report) {
    Set<String> vms = reportingVms.get(report);
    if (vms != null && vms.remove(vm) && vms.isEmpty()) {
      reportingVms.remove(report);
    }
  }

  /** A primary is suspect when most of the probing VMs that hold a lease cannot reach it. */
  private boolean isSuspect(View view, String database, Set<String> leaseHolders) {
    PrimaryTerm report = new PrimaryTerm(database, view.database(database).term());
    Set<String> reporting = reportingVms.get(report);
    if (reporting == null) {
      return false;
    }
    if (promotionMode instanceof PromotionMode.ByService) {
      return hasMoreFailuresThanAnswers(report, reporting, leaseHolders);
    }
    int asked = 0;
    int failed = 0;
    for (String vm : ProbeAssignment.probers(view, database)) {
      if (leaseHolders.contains(vm)) {
        asked++;
        failed += reporting.contains(vm) ? 1 : 0;
      }
    }
    return failed * 2 > asked;
  }

  /** VMs that use the primary have voted; one that reaches it weighs as much as one that fails. */
  private boolean hasMoreFailuresThanAnswers(PrimaryTerm report, Set<String> failing, Set<String> leaseHolders) {
    long failed = leaseHolders.stream().filter(failing::contains).count();
    long answered =
        leaseHolders.stream()
            .filter(vm -> reachableByVm.getOrDefault(vm, List.of()).contains(report))
            .count();
    return failed > answered;
  }

  private boolean isTermInForce(View view, String database, LongPredicate inForce) {
    return inForce.test(termVersions.getOrDefault(database, view.version()));
  }
}
