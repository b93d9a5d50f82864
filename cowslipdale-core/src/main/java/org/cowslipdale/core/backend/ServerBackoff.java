package org.cowslipdale.core.backend;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Leaves backend servers alone that have answered that they are busy.
 *
 * <p>All statements of the VM share what one of them learnt. The pause doubles while the server
 * stays busy and shrinks with the statements that it takes, so that VMs that know nothing of each
 * other together send a full server little more than it can take. This class is safe for use by
 * several threads.
 */
public final class ServerBackoff {

  /** A few times what a server needs to run one statement, in milliseconds. */
  private static final long INITIAL_BACKOFF_MILLIS = 20;

  /** Twice what a server with a full queue needs to run all of it, in milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 320;

  /** For how long reads prefer other servers, in milliseconds; many times the longest pause. */
  private static final long OVERLOADED_MILLIS = 2_000;

  private final RandomGenerator random;
  private final Map<String, Backoff> servers = new ConcurrentHashMap<>();

  private record Backoff(long durationMillis, long endMillis, long overloadedUntilMillis) {}

  /**
   * Creates a backoff for all servers.
   *
   * @param random spreads the ends of pauses
   */
  public ServerBackoff(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /**
   * Records that a server was too busy to take a statement or a connection.
   *
   * @param server the name of the server
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void rejected(String server, long now) {
    servers.compute(server, (name, before) -> nextBackoff(before, now));
  }

  /**
   * Records that a server took a statement.
   *
   * @param server the name of the server
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public void served(String server, long now) {
    if (servers.containsKey(server)) {
      servers.computeIfPresent(
          server,
          (name, before) ->
              now >= before.overloadedUntilMillis()
                  ? null
                  : new Backoff(before.durationMillis() / 2, now, before.overloadedUntilMillis()));
    }
  }

  /**
   * Returns until when a server is left alone, on the VM's monotonic clock; a past time if it may
   * be used.
   *
   * @param server the name of the server
   */
  public long endMillis(String server) {
    Backoff backoff = servers.get(server);
    return backoff == null ? Long.MIN_VALUE : backoff.endMillis();
  }

  /**
   * Tells whether a server was busy a short time ago, so that reads should prefer others.
   *
   * @param server the name of the server
   * @param now the present time on the VM's monotonic clock, in milliseconds
   */
  public boolean isOverloaded(String server, long now) {
    Backoff backoff = servers.get(server);
    return backoff != null && now < backoff.overloadedUntilMillis();
  }

  /** Answers of statements that were sent before the pause began do not double it again. */
  private Backoff nextBackoff(@Nullable Backoff before, long now) {
    if (before != null && now < before.endMillis()) {
      return new Backoff(before.durationMillis(), before.endMillis(), now + OVERLOADED_MILLIS);
    }
    long doubled = before == null ? 0 : 2 * before.durationMillis();
    long pause = Math.clamp(doubled, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    long jittered = pause / 2 + random.nextLong(pause);
    return new Backoff(pause, now + jittered, now + OVERLOADED_MILLIS);
  }
}
