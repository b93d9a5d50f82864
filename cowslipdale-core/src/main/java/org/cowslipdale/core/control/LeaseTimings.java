package org.cowslipdale.core.control;

/** Durations of view leases, in milliseconds. */
public final class LeaseTimings {

  /** The duration of a lease, counted from the time at which the VM sent its request. */
  public static final long LEASE_MILLIS = 2_000;

  /**
   * The upper bound that the leader assumes for a lease. Longer than {@link #LEASE_MILLIS} by the
   * bound on clock drift between two VMs.
   */
  public static final long LEASE_BOUND_MILLIS = 2_200;

  /** The interval at which a VM renews its lease. */
  public static final long RENEWAL_INTERVAL_MILLIS = 500;

  /**
   * The key grace period: the time during which a VM without a lease still accepts the keys that it
   * knows. Together with the lease it stays well below the 9 s within which a configuration must be
   * in force.
   */
  public static final long KEY_GRACE_MILLIS = 5_000;

  /** The upper bound that the leader assumes for the key grace period after a lease. */
  public static final long KEY_GRACE_BOUND_MILLIS = 5_500;

  /**
   * The time during which connections of a failed VM may stay open at backend servers. A server
   * closes a connection after 3 s without traffic.
   */
  public static final long ORPHANED_CONNECTION_MILLIS = 3_500;

  /**
   * The time after its lease within which a VM that was stopped or has failed is expected back.
   * Several times the limit of a planned stop (6 s) plus a start, and longer than the grace period
   * after which no connection of the VM is left.
   */
  public static final long RESTART_ALLOWANCE_MILLIS = 60_000;

  /** The time without a renewal after which the leader considers a VM disconnected. */
  public static final long RENEWAL_OVERDUE_MILLIS = 1_500;

  private LeaseTimings() {}
}
