package org.cowslipdale.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * The service that each customer had recently, in milliseconds of slots; not thread-safe.
 *
 * <p>Service counts half after {@link #HALF_LIFE_MILLIS}. Customers that always wait thus get equal
 * shares, and one that was idle has a limited advantage over the others.
 */
final class AttainedService {

  /**
   * About the objective of an operation, so that the service of the previous operation still counts
   * when the next one of the same caller arrives.
   */
  static final double HALF_LIFE_MILLIS = 1_000;

  private static final double NEGLIGIBLE_MILLIS = 0.05;

  /** Bounds the memory; customers beyond it count as having had no service. */
  private static final int MAX_CUSTOMERS = 4_096;

  private final Map<String, Service> services = new HashMap<>();

  private record Service(double millis, long updatedMillis) {

    double at(long now) {
      return millis * Math.pow(0.5, (now - updatedMillis) / HALF_LIFE_MILLIS);
    }
  }

  void add(String customer, double millis, long now) {
    Service previous = services.get(customer);
    if (previous == null && services.size() >= MAX_CUSTOMERS) {
      services.values().removeIf(service -> service.at(now) < NEGLIGIBLE_MILLIS);
      if (services.size() >= MAX_CUSTOMERS) {
        return;
      }
    }
    double before = previous == null ? 0 : previous.at(now);
    services.put(customer, new Service(Math.max(0, before + millis), now));
  }

  double millis(String customer, long now) {
    Service service = services.get(customer);
    return service == null ? 0 : service.at(now);
  }
}
