package org.cowslipdale.core.admission;

import java.util.HashMap;
import java.util.Map;

/** The mean service time of each class of requests; not thread-safe. */
final class ServiceTimes {

  static final double INITIAL_SERVICE_MILLIS = 2;

  private static final double SMOOTHING_FACTOR = 0.1;

  /** Bounds the memory; classes beyond it use the mean over all classes. */
  private static final int MAX_CLASSES = 256;

  private final Map<String, Double> meanByClass = new HashMap<>();
  private double meanMillis = INITIAL_SERVICE_MILLIS;

  void record(String serviceClass, double usedMillis) {
    meanMillis += SMOOTHING_FACTOR * (usedMillis - meanMillis);
    Double mean = meanByClass.get(serviceClass);
    if (mean != null) {
      meanByClass.put(serviceClass, mean + SMOOTHING_FACTOR * (usedMillis - mean));
    } else if (meanByClass.size() < MAX_CLASSES) {
      meanByClass.put(serviceClass, usedMillis);
    }
  }

  /** Returns the mean of a class, or the mean over all classes if none of its requests has run. */
  double meanMillis(String serviceClass) {
    return meanByClass.getOrDefault(serviceClass, meanMillis);
  }

  /** Returns the mean over the requests of all classes. */
  double meanMillis() {
    return meanMillis;
  }
}
