package org.cowslipdale.daemon.session;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.routing.PositionSample;
import org.jspecify.annotations.Nullable;

/** The latest positions that primaries stated, by database; safe for use by several threads. */
final class PositionSamples {

  private final ConcurrentMap<String, PositionSample> samples = new ConcurrentHashMap<>();

  void add(String database, PositionSample sample) {
    samples.merge(
        database, sample, (known, next) -> next.sentMillis() > known.sentMillis() ? next : known);
  }

  @Nullable PositionSample latest(String database) {
    return samples.get(database);
  }
}
