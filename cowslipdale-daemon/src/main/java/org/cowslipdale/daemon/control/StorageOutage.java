package org.cowslipdale.daemon.control;

/**
 * A period in which a voter cannot write its data folder, and the schedule of its attempts to
 * recover the folder.
 *
 * @param startMillis the time at which a write failed, in milliseconds of the VM's monotonic clock
 * @param failedAttempts the number of attempts to recover that have failed
 * @param nextAttemptMillis the time of the next attempt, in milliseconds of the same clock
 */
record StorageOutage(long startMillis, int failedAttempts, long nextAttemptMillis) {

  private static final long INITIAL_DELAY_MILLIS = 100;

  /** Far shorter than the time within which a VM must take part again after a disk fault. */
  private static final long MAX_DELAY_MILLIS = 800;

  /** The number of doublings from the initial to the maximum delay. */
  private static final int MAX_DOUBLINGS = 3;

  /** Returns an outage that begins now. */
  static StorageOutage begin(long now) {
    return new StorageOutage(now, 0, now + INITIAL_DELAY_MILLIS);
  }

  /** Returns this outage after another attempt has failed. */
  StorageOutage attemptFailed(long now) {
    long delay = INITIAL_DELAY_MILLIS << Math.min(MAX_DOUBLINGS, failedAttempts + 1);
    return new StorageOutage(
        startMillis, failedAttempts + 1, now + Math.min(MAX_DELAY_MILLIS, delay));
  }

  boolean isAttemptDue(long now) {
    return now >= nextAttemptMillis;
  }
}
