package org.cowslipdale.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.view.View;

/**
 * The leases that a control leader has granted, and the versions of the view that VMs have
 * confirmed.
 *
 * <p>A version is in force once every VM has confirmed it or can no longer act on an older one. A
 * VM without an entry may hold a lease from the previous leader, so its lease is assumed to start
 * with the election of this leader.
 *
 * <p>This class is confined to one thread.
 */
public final class LeaseTable {

  private final long electedMillis;
  private final Map<String, Entry> entriesByVm = new HashMap<>();

  /**
   * The outcome of the latest request of a VM.
   *
   * @param confirmedVersion the version of the view that the VM acts on
   * @param maxLeaseEndMillis the latest time at which the lease can end, on the leader's clock
   * @param sentMillis the send time of the request, on the VM's clock
   */
  private record Entry(long confirmedVersion, long maxLeaseEndMillis, long sentMillis) {}

  /**
   * Creates the empty table of a newly elected leader.
   *
   * @param electedMillis the time of the election in milliseconds of the leader's monotonic clock
   */
  public LeaseTable(long electedMillis) {
    this.electedMillis = electedMillis;
  }

  /**
   * Records the version that a VM has confirmed and grants it a lease.
   *
   * @param vm the name of the VM
   * @param confirmedVersion the version of the view that the VM acts on
   * @param sentMillis the send time of the request in milliseconds of the VM's monotonic clock
   * @param now the current time in milliseconds of the leader's monotonic clock
   */
  public void grant(String vm, long confirmedVersion, long sentMillis, long now) {
    entriesByVm.put(
        vm, new Entry(confirmedVersion, now + LeaseTimings.LEASE_BOUND_MILLIS, sentMillis));
  }

  /**
   * Records that a VM released its lease and no longer serves customers. Ignored if the network
   * delayed the request so that a lease that the VM requested later is already granted.
   *
   * @param vm the name of the VM
   * @param sentMillis the send time of the request in milliseconds of the VM's monotonic clock
   * @param now the current time in milliseconds of the leader's monotonic clock
   */
  public void release(String vm, long sentMillis, long now) {
    Entry entry = entriesByVm.get(vm);
    if (entry == null || sentMillis >= entry.sentMillis()) {
      // The key grace period must have ended, too.
      entriesByVm.put(vm, new Entry(0, now - LeaseTimings.KEY_GRACE_BOUND_MILLIS, sentMillis));
    }
  }

  /**
   * Returns whether a VM may hold a lease that this leader granted.
   *
   * @param vm the name of the VM
   * @param now the current time in milliseconds of the leader's monotonic clock
   */
  public boolean mayHoldLease(String vm, long now) {
    Entry entry = entriesByVm.get(vm);
    return entry != null && now < entry.maxLeaseEndMillis();
  }

  /**
   * Returns whether a VM whose renewal is overdue may still serve customers, with or without a
   * lease. Its share of the customers' rates is reserved during this time.
   *
   * @param vm the name of the VM
   * @param now the current time in milliseconds of the leader's monotonic clock
   */
  public boolean mayServeWithoutLease(String vm, long now) {
    long maxLeaseEnd = maxLeaseEndMillis(vm);
    return now
            >= maxLeaseEnd - LeaseTimings.LEASE_BOUND_MILLIS + LeaseTimings.RENEWAL_OVERDUE_MILLIS
        && now < maxLeaseEnd + LeaseTimings.KEY_GRACE_BOUND_MILLIS;
  }

  /**
   * Returns whether a VM has a share of the connections to backend servers: it may hold a lease, or
   * its lease ended less than {@link LeaseTimings#RESTART_ALLOWANCE_MILLIS} ago. The share of a VM
   * that restarts stays reserved, so that VMs do not begin to use connections without permits in
   * the meantime.
   *
   * @param vm the name of the VM
   * @param now the current time in milliseconds of the leader's monotonic clock
   */
  public boolean sharesServerConnections(String vm, long now) {
    return now < maxLeaseEndMillis(vm) + LeaseTimings.RESTART_ALLOWANCE_MILLIS;
  }

  /**
   * Returns whether backend servers may still count connections that a VM opened with permits. A VM
   * without a lease keeps them open while it serves customers, which ends with the key grace
   * period.
   *
   * @param vm the name of the VM
   * @param now the current time in milliseconds of the leader's monotonic clock
   */
  public boolean mayHoldPermits(String vm, long now) {
    return now
        < maxLeaseEndMillis(vm)
            + LeaseTimings.KEY_GRACE_BOUND_MILLIS
            + LeaseTimings.ORPHANED_CONNECTION_MILLIS;
  }

  /**
   * Returns the latest time at which the lease of a VM can end. A VM without an entry may hold a
   * lease from the previous leader.
   */
  private long maxLeaseEndMillis(String vm) {
    Entry entry = entriesByVm.get(vm);
    return entry == null
        ? electedMillis + LeaseTimings.LEASE_BOUND_MILLIS
        : entry.maxLeaseEndMillis();
  }

  /**
   * Returns the VMs that may still act on a version older than the given one.
   *
   * @param version the version of the view
   * @param view the current view
   * @param graceMillis the time after the end of its lease during which a VM may still act on the
   *     changed part of the view, in milliseconds
   * @param now the current time in milliseconds of the leader's monotonic clock
   * @return the sorted names of the VMs; empty once the version is in force
   */
  public List<String> waitingFor(long version, View view, long graceMillis, long now) {
    Set<String> names = new HashSet<>(view.vms().keySet());
    names.addAll(entriesByVm.keySet());
    List<String> waiting = new ArrayList<>();
    for (String name : names) {
      Entry entry = entriesByVm.get(name);
      long confirmed = entry == null ? 0 : entry.confirmedVersion();
      long maxLeaseEnd = maxLeaseEndMillis(name);
      if (confirmed < version && now < maxLeaseEnd + graceMillis) {
        waiting.add(name);
      }
    }
    waiting.sort(null);
    return waiting;
  }
}
