package org.cowslipdale.core.permit;

import java.util.Map;

/**
 * The permits that a VM holds.
 *
 * @param incarnation tells the processes of a VM apart
 * @param settledNumber the number up to which the VM's asks are settled: answered, or given up so
 *     that an answer that comes later is ignored
 * @param held the permits by server; those without any are left out
 */
public record PermitReport(long incarnation, long settledNumber, Map<String, Integer> held) {

  /** Copies the permits. */
  public PermitReport {
    held = Map.copyOf(held);
  }
}
