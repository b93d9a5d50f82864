package org.cowslipdale.core.control;

/** Durations of view leases, in milliseconds. */
public final class LeaseTimings {

  /** How long a lease lasts, counted from when the VM sent its request. */
  public static final long LEASE_MILLIS = 2_000;

  /** The leader's bound on a lease; longer by the bound on clock drift between two VMs. */
  public static final long LEASE_BOUND_MILLIS = 2_200;

  /** How often a VM renews its lease. */
  public static final long RENEWAL_INTERVAL_MILLIS = 500;

  /**
   * How long a VM without a lease still accepts the keys that it knows. With the lease it stays
   * well below the 9 s within which a configuration must be in force.
   */
  public static final long KEY_GRACE_MILLIS = 5_000;

  /** The leader's bound on {@link #KEY_GRACE_MILLIS} after a lease. */
  public static final long KEY_GRACE_BOUND_MILLIS = 5_500;

  /**
   * How long the connections of a VM that died may stay open at servers, which drop them after 3 s
   * of silence.
   */
  public static final long ORPHANED_CONNECTION_MILLIS = 3_500;

  /** After this time without a renewal a VM is taken to have lost the leader. */
  public static final long RENEWAL_OVERDUE_MILLIS = 1_500;

  private LeaseTimings() {}
}
