package org.cowslipdale.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.view.View;

/**
 * The leases that a control leader has granted, and the versions that VMs have confirmed.
 *
 * <p>A version is in force once every VM has confirmed it or can no longer act on an older one. A
 * VM of which this leader knows nothing may hold a lease of the former leader; it is waited out.
 * This class is confined to one thread.
 */
public final class LeaseTable {

  private final long electedMillis;
  private final Map<String, Entry> entriesByVm = new HashMap<>();

  /** What the latest request of a VM led to; the VM sent it at {@code sentMillis} on its clock. */
  private record Entry(long confirmedVersion, long maxLeaseEndMillis, long sentMillis) {}

  /**
   * Creates the table of a new leader.
   *
   * @param electedMillis when the leader was elected, on its monotonic clock
   */
  public LeaseTable(long electedMillis) {
    this.electedMillis = electedMillis;
  }

  /**
   * Records what a VM confirmed and the lease that it is granted.
   *
   * @param vm the name of the VM
   * @param confirmedVersion the version of the view that the VM acts on
   * @param sentMillis when the VM sent its request, on the VM's monotonic clock
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public void grant(String vm, long confirmedVersion, long sentMillis, long now) {
    entriesByVm.put(vm, new Entry(confirmedVersion, now + LeaseTimings.LEASE_BOUND_MILLIS, sentMillis));
  }

  /**
   * Records that a VM gave its lease back and serves nothing any more; ignored if the network held
   * the request back until a later one of the VM was granted.
   *
   * @param vm the name of the VM
   * @param sentMillis when the VM sent its request, on the VM's monotonic clock
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public void release(String vm, long sentMillis, long now) {
    Entry entry = entriesByVm.get(vm);
    if (entry == null || sentMillis >= entry.sentMillis()) {
      entriesByVm.put(vm, new Entry(0, now - LeaseTimings.KEY_GRACE_BOUND_MILLIS, sentMillis));
    }
  }

  /**
   * Tells whether a VM may hold a lease granted by this leader.
   *
   * @param vm the name of the VM
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public boolean mayHoldLease(String vm, long now) {
    Entry entry = entriesByVm.get(vm);
    return entry != null && now < entry.maxLeaseEndMillis();
  }

  /**
   * Tells whether a VM without a lease may still serve customers, so that its share of their rates
   * is kept for it.
   *
   * @param vm the name of the VM
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public boolean mayServeWithoutLease(String vm, long now) {
    long bound = maxLeaseEndMillis(vm);
    return now >= bound - LeaseTimings.LEASE_BOUND_MILLIS + LeaseTimings.RENEWAL_OVERDUE_MILLIS
        && now < bound + LeaseTimings.KEY_GRACE_BOUND_MILLIS;
  }

  /**
   * Tells whether a VM held a lease a moment ago, so that its connections to servers may be open.
   *
   * @param vm the name of the VM
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public boolean mayHaveServerConnections(String vm, long now) {
    return now < maxLeaseEndMillis(vm) + LeaseTimings.ORPHANED_CONNECTION_MILLIS;
  }

  /**
   * Tells whether servers may still count connections that a VM opened with permits. A VM without a
   * lease keeps them while it serves customers.
   *
   * @param vm the name of the VM
   * @param now the present time on the leader's monotonic clock, in milliseconds
   */
  public boolean mayHoldPermits(String vm, long now) {
    return now
        < maxLeaseEndMillis(vm)
            + LeaseTimings.KEY_GRACE_BOUND_MILLIS
            + LeaseTimings.ORPHANED_CONNECTION_MILLIS;
  }

  /** Of a VM that this leader does not know, the former leader may have known. */
  private long maxLeaseEndMillis(String vm) {
    Entry entry = entriesByVm.get(vm);
    return entry == null
        ? electedMillis + LeaseTimings.LEASE_BOUND_MILLIS
        : entry.maxLeaseEndMillis();
  }

  /**
   * Returns the VMs that may still act on an older version.
   *
   * @param version the version of the view
   * @param view the current view
   * @param graceMillis how long after its lease a VM may still act on the matter in question, in
   *     milliseconds
   * @param now the present time on the leader's monotonic clock, in milliseconds
   * @return the names of the VMs; empty once the version is in force
   */
  public List<String> waitingFor(long version, View view, long graceMillis, long now) {
    Set<String> names = new HashSet<>(view.vms().keySet());
    names.addAll(entriesByVm.keySet());
    List<String> waiting = new ArrayList<>();
    for (String name : names) {
      Entry entry = entriesByVm.get(name);
      long confirmed = entry == null ? 0 : entry.confirmedVersion();
      long bound = maxLeaseEndMillis(name);
      if (confirmed < version && now < bound + graceMillis) {
        waiting.add(name);
      }
    }
    waiting.sort(null);
    return waiting;
  }
}
