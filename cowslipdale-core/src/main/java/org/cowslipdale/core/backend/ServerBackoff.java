package org.cowslipdale.core.backend;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Backs off from backend servers that reported that they are busy.
 *
 * <p>All statements of the VM share the backoff of a server. It doubles while the server stays busy
 * and halves with every statement that the server accepts. VMs that do not coordinate thus send a
 * full server only slightly more statements than it can accept. This class is thread-safe.
 */
public final class ServerBackoff implements BackoffPolicy {

  /** A small multiple of the time that a server needs to run one statement. */
  private static final long INITIAL_BACKOFF_MILLIS = 20;

  /** Twice the time that a server needs to run all statements of a full queue. */
  private static final long MAX_BACKOFF_MILLIS = 320;

  /** How long reads prefer other servers; several times the maximum backoff. */
  private static final long OVERLOADED_MILLIS = 2_000;

  private final RandomGenerator random;
  private final Map<String, Backoff> servers = new ConcurrentHashMap<>();

  private record Backoff(long durationMillis, long endMillis, long overloadedUntilMillis) {}

  /**
   * Creates an instance without backoffs.
   *
   * @param random the source of the jitter that spreads the ends of backoffs
   */
  public ServerBackoff(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  @Override
  public void rejected(String server, int priority, long now) {
    rejected(server, now);
  }

  @Override
  public void served(String server, int priority, long responseMillis, long now) {
    served(server, now);
  }

  @Override
  public boolean trySend(String server, int priority, long now) {
    return true;
  }

  @Override
  public long endMillis(String server, int priority) {
    return endMillis(server);
  }

  /**
   * Records that a server was too busy to accept a statement or a connection.
   *
   * @param server the name of the server
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void rejected(String server, long now) {
    servers.compute(server, (name, previous) -> nextBackoff(previous, now));
  }

  /**
   * Records that a server ran a statement. Ends the current backoff and halves the duration from
   * which the next one is computed.
   *
   * @param server the name of the server
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void served(String server, long now) {
    if (servers.containsKey(server)) {
      servers.computeIfPresent(
          server,
          (name, previous) ->
              now >= previous.overloadedUntilMillis()
                  ? null
                  : new Backoff(
                      previous.durationMillis() / 2, now, previous.overloadedUntilMillis()));
    }
  }

  /**
   * Returns when the backoff of a server ends or ended, on the VM's monotonic clock in
   * milliseconds; {@link Long#MIN_VALUE} if there is none.
   *
   * @param server the name of the server
   */
  public long endMillis(String server) {
    Backoff backoff = servers.get(server);
    return backoff == null ? Long.MIN_VALUE : backoff.endMillis();
  }

  @Override
  public boolean isOverloaded(String server, long now) {
    Backoff backoff = servers.get(server);
    return backoff != null && now < backoff.overloadedUntilMillis();
  }

  /**
   * Returns the backoff after a rejection. Rejections of statements that were sent before the
   * current backoff began do not double it again.
   */
  private Backoff nextBackoff(@Nullable Backoff previous, long now) {
    if (previous != null && now < previous.endMillis()) {
      return new Backoff(previous.durationMillis(), previous.endMillis(), now + OVERLOADED_MILLIS);
    }
    long doubled = previous == null ? 0 : 2 * previous.durationMillis();
    long durationMillis = Math.clamp(doubled, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    long jitteredMillis = durationMillis / 2 + random.nextLong(durationMillis);
    return new Backoff(durationMillis, now + jitteredMillis, now + OVERLOADED_MILLIS);
  }
}
