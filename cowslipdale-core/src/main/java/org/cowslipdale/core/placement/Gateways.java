package org.cowslipdale.core.placement;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.cowslipdale.core.view.VmRecord;

/**
 * Chooses the VMs that hold the connections of a customer to the servers of a database on behalf of
 * the other VMs of their failure domain.
 *
 * <p>VMs with the same members in their views make the same choice. VMs with different views may
 * choose different gateways, which only costs connections.
 */
public final class Gateways {

  /** The gateway and the VM that takes its place while it does not answer. */
  private static final int CANDIDATES = 2;

  /**
   * The share of a server's connections from which on a VM uses only its own connections: enough
   * for a transaction beside a few single statements.
   */
  private static final int SUFFICIENT_SHARE = 4;

  private Gateways() {}

  /**
   * What the choice of a gateway depends on.
   *
   * @param customer the name of the customer
   * @param database the name of the database
   * @param failureDomain the failure domain of the requesting VM
   */
  public record Key(String customer, String database, String failureDomain) {

    /** Checks that no component is null. */
    public Key {
      requireNonNull(customer, "customer");
      requireNonNull(database, "database");
      requireNonNull(failureDomain, "failureDomain");
    }
  }

  /**
   * Returns whether a VM has too few connections of its own to a server.
   *
   * @param share the number of connections that the VM may open without permits
   */
  public static boolean isNeeded(int share) {
    return share < SUFFICIENT_SHARE;
  }

  /**
   * Returns the gateway and its fallback, the preferred one first; fewer if there are not enough
   * VMs.
   *
   * @param key what the choice depends on
   * @param vms the VMs of the view
   */
  public static List<VmRecord> candidates(Key key, Collection<VmRecord> vms) {
    String text = key.customer() + '\n' + key.database();
    List<VmRecord> candidates = new ArrayList<>(CANDIDATES + 1);
    for (VmRecord vm : vms) {
      if (vm.active() && vm.servesCallers() && vm.failureDomain().equals(key.failureDomain())) {
        insertByScore(candidates, vm, text);
      }
    }
    return List.copyOf(candidates);
  }

  /**
   * Returns whether a statement may be relayed to a VM.
   *
   * @param homeRegions the regions in which the data of the statement may be handled; empty if it
   *     is not restricted
   * @param gateway the VM
   */
  public static boolean isAllowed(Set<String> homeRegions, VmRecord gateway) {
    return homeRegions.isEmpty() || homeRegions.contains(gateway.region());
  }

  private static void insertByScore(List<VmRecord> candidates, VmRecord vm, String text) {
    int index = candidates.size();
    while (index > 0 && hasHigherScore(vm, candidates.get(index - 1), text)) {
      index--;
    }
    candidates.add(index, vm);
    if (candidates.size() > CANDIDATES) {
      candidates.removeLast();
    }
  }

  /** Compares scores, and the names of VMs if these are equal, so that the order is total. */
  private static boolean hasHigherScore(VmRecord vm, VmRecord other, String text) {
    int order =
        Long.compareUnsigned(Placement.score(text, vm.name()), Placement.score(text, other.name()));
    return order == 0 ? vm.name().compareTo(other.name()) < 0 : order > 0;
  }
}
