package org.cowslipdale.core.placement;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the gateways that did not answer. Each is avoided for a time that doubles with every
 * further failure.
 *
 * <p>The number of entries is bounded by the number of VMs in the failure domain of this VM. This
 * class is thread-safe.
 */
public final class GatewayHealth {

  private static final long INITIAL_AVOIDANCE_MILLIS = 1_000;
  private static final long MAX_AVOIDANCE_MILLIS = 8_000;

  /** Longer than a statement waits for the first answer of a gateway. */
  private static final long TRIAL_MILLIS = 600;

  private final Map<String, Avoidance> avoided = new ConcurrentHashMap<>();

  /**
   * @param durationMillis the time for which the VM is avoided
   * @param untilMillis when the avoidance ends
   * @param triedMillis when a statement last tried the VM after that, or {@link Long#MIN_VALUE}
   */
  private record Avoidance(long durationMillis, long untilMillis, long triedMillis) {}

  /**
   * Records that a VM did not answer, or does not act as a gateway at present. Failures while it is
   * already avoided belong to statements that were in progress, and do not extend the time.
   *
   * @param vm the name of the VM
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return the time for which the VM is avoided from now on, in milliseconds
   */
  public long failed(String vm, long now) {
    return avoided.compute(vm, (name, previous) -> next(previous, now)).untilMillis() - now;
  }

  /**
   * Records that a VM answered as a gateway.
   *
   * @param vm the name of the VM
   */
  public void answered(String vm) {
    if (avoided.containsKey(vm)) {
      avoided.remove(vm);
    }
  }

  /**
   * Returns whether a VM should be avoided.
   *
   * @param vm the name of the VM
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public boolean isAvoided(String vm, long now) {
    Avoidance avoidance = avoided.get(vm);
    return avoidance != null && now < avoidance.untilMillis();
  }

  /**
   * Returns whether a statement may use a VM. After the avoidance of a VM only one statement at a
   * time tries it until it answers, so that a dead gateway delays few statements.
   *
   * @param vm the name of the VM
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public boolean tryUse(String vm, long now) {
    Avoidance avoidance = avoided.get(vm);
    if (avoidance == null) {
      return true;
    }
    boolean tried =
        avoidance.triedMillis() != Long.MIN_VALUE && now < avoidance.triedMillis() + TRIAL_MILLIS;
    if (now < avoidance.untilMillis() || tried) {
      return false;
    }
    Avoidance next = new Avoidance(avoidance.durationMillis(), avoidance.untilMillis(), now);
    return avoided.replace(vm, avoidance, next);
  }

  private static Avoidance next(@Nullable Avoidance previous, long now) {
    if (previous != null && now < previous.untilMillis()) {
      return previous;
    }
    long duration =
        previous == null
            ? INITIAL_AVOIDANCE_MILLIS
            : Math.min(MAX_AVOIDANCE_MILLIS, previous.durationMillis() * 2);
    return new Avoidance(duration, now + duration, Long.MIN_VALUE);
  }
}
