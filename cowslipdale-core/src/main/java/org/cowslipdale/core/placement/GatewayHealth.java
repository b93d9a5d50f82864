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

  private final Map<String, Avoidance> avoided = new ConcurrentHashMap<>();

  private record Avoidance(long durationMillis, long untilMillis) {}

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

  private static Avoidance next(@Nullable Avoidance previous, long now) {
    if (previous != null && now < previous.untilMillis()) {
      return previous;
    }
    long duration =
        previous == null
            ? INITIAL_AVOIDANCE_MILLIS
            : Math.min(MAX_AVOIDANCE_MILLIS, previous.durationMillis() * 2);
    return new Avoidance(duration, now + duration);
  }
}
