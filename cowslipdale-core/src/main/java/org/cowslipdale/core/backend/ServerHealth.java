package org.cowslipdale.core.backend;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Ejects backend servers that keep failing, for a time that grows with every failure.
 *
 * <p>At most half of a group is ejected at a time, so a fault on the VM's own side cannot empty the
 * group. This class is safe for use by several threads.
 */
public final class ServerHealth {

  private static final int FAILURES_TO_EJECT = 3;
  private static final long INITIAL_EJECTION_MILLIS = 500;
  private static final long MAX_EJECTION_MILLIS = 8_000;

  private final Map<String, Circuit> circuits = new ConcurrentHashMap<>();

  private record Circuit(int failures, long ejectedUntilMillis) {}

  /**
   * Records a regular answer, which closes the circuit.
   *
   * @param server the name of the server
   */
  public void succeeded(String server) {
    if (circuits.containsKey(server)) {
      circuits.remove(server);
    }
  }

  /**
   * Records a connection failure or a lost answer.
   *
   * @param server the name of the server
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void failed(String server, long now) {
    circuits.compute(
        server, (name, circuit) -> nextCircuit(circuit == null ? 1 : circuit.failures() + 1, now));
  }

  /**
   * Tells whether a server should be avoided.
   *
   * @param server the name of the server
   * @param group the names of all servers of its group
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public boolean isEjected(String server, Collection<String> group, long now) {
    if (!isOpen(server, now)) {
      return false;
    }
    long open = group.stream().filter(name -> isOpen(name, now)).count();
    return open * 2 <= group.size();
  }

  private boolean isOpen(String server, long now) {
    Circuit circuit = circuits.get(server);
    return circuit != null && now < circuit.ejectedUntilMillis();
  }

  private static Circuit nextCircuit(int failures, long now) {
    if (failures < FAILURES_TO_EJECT) {
      return new Circuit(failures, now);
    }
    int doublings = Math.min(10, failures - FAILURES_TO_EJECT);
    long ejection = Math.min(MAX_EJECTION_MILLIS, INITIAL_EJECTION_MILLIS << doublings);
    return new Circuit(failures, now + ejection);
  }
}
