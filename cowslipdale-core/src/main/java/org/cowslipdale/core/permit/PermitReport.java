package org.cowslipdale.core.permit;

import java.util.Map;

/**
 * Reports the permits that a VM holds.
 *
 * @param incarnation identifies the process of the VM
 * @param settledNumber the number up to which all demands of the VM are settled: answered, or
 *     abandoned so that a late answer is ignored
 * @param held the number of permits by server; servers without permits are left out
 */
public record PermitReport(long incarnation, long settledNumber, Map<String, Integer> held) {

  /** Copies the map of permits. */
  public PermitReport {
    held = Map.copyOf(held);
  }
}
