package org.cowslipdale.daemon.session;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.cowslipdale.core.routing.PositionHistory;

/** The positions that primaries stated, by database; safe for use by several threads. */
final class PositionSamples {

  private final ConcurrentMap<String, PositionHistory> histories = new ConcurrentHashMap<>();

  PositionHistory of(String database) {
    return histories.computeIfAbsent(database, name -> new PositionHistory());
  }
}
