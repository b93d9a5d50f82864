package org.cowslipdale.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cowslipdale.core.session.LogPosition;

/**
 * Tracks replicas that rejected a read because they lag, and the position that each had reached.
 *
 * <p>A lagging replica gets no reads of later positions until its backoff has ended. Otherwise each
 * of these reads would lose a round trip. This class is thread-safe.
 */
public final class ReplicaLagTracker {

  private static final long INITIAL_BACKOFF_MILLIS = 150;

  /** The limit of the backoff, which doubles with every further rejection. */
  private static final long MAX_BACKOFF_MILLIS = 600;

  private final Map<String, Lag> lagging = new ConcurrentHashMap<>();

  private record Lag(LogPosition reachedPosition, long untilMillis, long backoffMillis) {}

  /**
   * Records that a replica rejected a read because it lags.
   *
   * @param server the name of the server
   * @param reachedPosition the position that the replica reported, or {@link LogPosition#ZERO} if
   *     it reported none
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void rejected(String server, LogPosition reachedPosition, long now) {
    lagging.compute(
        server,
        (name, lag) -> {
          long backoffMillis =
              lag == null
                  ? INITIAL_BACKOFF_MILLIS
                  : Math.min(MAX_BACKOFF_MILLIS, 2 * lag.backoffMillis());
          return new Lag(reachedPosition, now + backoffMillis, backoffMillis);
        });
  }

  /**
   * Records that a replica served a read, which ends its backoff.
   *
   * @param server the name of the server
   */
  public void served(String server) {
    if (lagging.containsKey(server)) {
      lagging.remove(server);
    }
  }

  /**
   * Returns whether a replica would probably reject a read because it lags.
   *
   * @param server the name of the server
   * @param required the position that the read requires
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public boolean isBehind(String server, LogPosition required, long now) {
    Lag lag = lagging.get(server);
    return lag != null && now < lag.untilMillis() && lag.reachedPosition().compareTo(required) < 0;
  }
}
