package org.cowslipdale.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipdale.core.session.LogPosition;

/**
 * How far replicas that declined a read because they lag were seen to be.
 *
 * <p>A replica that lags is left alone for a moment, so that reads do not lose a round trip each,
 * and then tried again with one read. This class is safe for use by several threads.
 */
public final class ReplicaLagTracker {

  /** How long a replica that lags is left alone, in milliseconds. */
  private static final long INITIAL_BACKOFF_MILLIS = 150;

  /** The longest pause for a replica that lags again and again, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 600;

  private final Map<String, Lag> lagging = new ConcurrentHashMap<>();

  private record Lag(LogPosition reachedPosition, long untilMillis, long backoffMillis) {}

  /**
   * Records that a replica declined a read.
   *
   * @param server the name of the server
   * @param reached the position that it stated, or the one before the position asked for
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void rejected(String server, LogPosition reached, long now) {
    lagging.compute(
        server,
        (name, lag) -> {
          long pause =
              lag == null ? INITIAL_BACKOFF_MILLIS : Math.min(MAX_BACKOFF_MILLIS, 2 * lag.backoffMillis());
          return new Lag(reached, now + pause, pause);
        });
  }

  /**
   * Records that a replica served a read.
   *
   * @param server the name of the server
   */
  public void served(String server) {
    if (lagging.containsKey(server)) {
      lagging.remove(server);
    }
  }

  /**
   * Tells whether a replica would probably decline a read.
   *
   * @param server the name of the server
   * @param wanted the position that the read needs
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public boolean isBehind(String server, LogPosition wanted, long now) {
    Lag lag = lagging.get(server);
    return lag != null && now < lag.untilMillis() && lag.reachedPosition().compareTo(wanted) < 0;
  }
}
