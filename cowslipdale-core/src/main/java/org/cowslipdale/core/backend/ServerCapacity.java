package org.cowslipdale.core.backend;

import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;

/**
 * Estimates how much load each backend server handles well, from what this VM observes.
 *
 * <p>Response times are divided by the best recent time of the same class of statements on any
 * server. The result, the slowness of the server, is smoothed over time. The limit of a server
 * shrinks while its slowness exceeds the best recent one at low load, and after rejections and
 * timeouts; it grows otherwise, up to the announced slots. Failures never count as response times;
 * they lower the success rate, which raises the expected time. This class is thread-safe.
 */
public final class ServerCapacity {

  /** More servers than a VM sends statements to within {@link #MAX_IDLE_MILLIS}. */
  static final int MAX_SERVERS = 256;

  /** Several classes for each of the 84 customers' routes that one VM serves. */
  static final int MAX_CLASSES = 512;

  /** How long unused entries are kept if others need their place. */
  private static final long MAX_IDLE_MILLIS = 10_000;

  /**
   * Two probes must replace the estimate within the 2 s in which a recovery must be noticed. With
   * 500 ms and a probe interval of 750 ms three were needed, and some VMs took longer.
   */
  private static final double SMOOTHING_MILLIS = 250;

  /** Keeps the effect of one response time small while there are many. */
  private static final double MIN_WEIGHT = 0.05;

  /** The weight of a response time after a long pause, when the estimate is out of date. */
  private static final double MAX_WEIGHT = 0.9;

  /** The maximum weight of one success or failure; a single one says little about the rate. */
  private static final double MAX_SUCCESS_WEIGHT = 0.4;

  /** A server that only fails still has a finite expected time. */
  private static final double MIN_SUCCESS_RATE = 0.05;

  /** The increase of the best response times, which lets them follow servers that got slower. */
  private static final double DRIFT_MILLIS = 10_000;

  /** The slowness relative to the best one up to which the limit grows. */
  private static final double GROWTH_TOLERANCE = 1.25;

  /** The slowness relative to the best one from which the limit shrinks. */
  private static final double SHRINK_TOLERANCE = 1.5;

  private static final double MIN_GRADIENT = 0.5;
  private static final double REJECTION_FACTOR = 0.8;
  private static final double TIMEOUT_FACTOR = 0.5;

  /** Rejections of one burst reduce the limit once. */
  private static final long REDUCTION_INTERVAL_MILLIS = 50;

  /**
   * How long a server that is not preferred stays without a statement, at least, before it gets one
   * to update its estimate.
   */
  private static final long PROBE_INTERVAL_MILLIS = 500;

  /** At most one in this number of statements is sent only to update an estimate. */
  private static final int STATEMENTS_PER_PROBE = 8;

  /** The assumed response time before anything was measured. */
  private static final double DEFAULT_MILLIS = 10;

  private final Map<String, State> servers = new ConcurrentHashMap<>();
  private final Map<String, Reference> classes = new ConcurrentHashMap<>();
  private final AtomicReference<Double> typicalMillis = new AtomicReference<>(DEFAULT_MILLIS);

  /**
   * The estimate for one server.
   *
   * @param limit the number of statements of this VM that the server handles well
   * @param slowness the smoothed response time relative to the best recent one of any server
   * @param successRate the smoothed share of statements that did not fail because of the server
   */
  public record Estimate(double limit, double slowness, double successRate) {

    /** Returns the time for one statement relative to the best server, repetitions included. */
    double relativeTime() {
      return slowness / Math.max(MIN_SUCCESS_RATE, successRate);
    }
  }

  private record State(
      Estimate estimate,
      double bestSlowness,
      long reducedMillis,
      long observedMillis,
      int choicesOfOthers) {

    State with(double limit, double slowness, double successRate) {
      return new State(
          new Estimate(limit, slowness, successRate),
          bestSlowness,
          reducedMillis,
          observedMillis,
          choicesOfOthers);
    }

    State withSlowness(double slowness) {
      return with(estimate.limit(), slowness, estimate.successRate());
    }

    State withLimit(double limit) {
      return with(limit, estimate.slowness(), estimate.successRate());
    }

    State withBestSlowness(double best) {
      return new State(estimate, best, reducedMillis, observedMillis, choicesOfOthers);
    }

    State reducedAt(long now) {
      return new State(estimate, bestSlowness, now, observedMillis, choicesOfOthers);
    }

    State observedAt(long now) {
      return new State(estimate, bestSlowness, reducedMillis, now, choicesOfOthers);
    }

    State withChoicesOfOthers(int choices) {
      return new State(estimate, bestSlowness, reducedMillis, observedMillis, choices);
    }

    /** Returns the weight of an observation, which grows with the time since the previous one. */
    double weight(long now, double min, double max) {
      return Math.clamp(1 - Math.exp((double) (observedMillis - now) / SMOOTHING_MILLIS), min, max);
    }
  }

  /** The best recent response time of a class, and whether several servers were compared. */
  private record Reference(
      double millis, String bestServer, long otherServerMillis, long usedMillis) {}

  private record Comparison(double ratio, boolean comparable) {}

  /**
   * Records the response time of a statement that succeeded.
   *
   * @param server the name of the server
   * @param statementClass the class of the statement; those of a class take similar time
   * @param millis the response time without the time between regions
   * @param slots the number of statements that the server announced to run concurrently
   * @param outstanding the statements of this VM at the server, including this one
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void served(
      String server, String statementClass, long millis, int slots, int outstanding, long now) {
    Comparison comparison = compare(server, statementClass, (double) Math.max(1, millis), now);
    update(
        server,
        slots,
        now,
        state -> comparison == null ? state : afterTime(state, comparison, slots, outstanding, now),
        true);
  }

  /** Records that a server rejected a statement because it was busy. */
  public void rejected(String server, int slots, long now) {
    update(server, slots, now, state -> reduced(state, REJECTION_FACTOR, now), null);
  }

  /**
   * Records that a statement received no answer in time.
   *
   * @param server the name of the server
   * @param millis how long the answer was awaited
   * @param slots the announced slots
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public void timedOut(String server, long millis, int slots, long now) {
    double ratio = (double) millis / typicalMillis.get();
    update(
        server,
        slots,
        now,
        state -> {
          State slower =
              ratio <= state.estimate().slowness() ? state : withResponse(state, ratio, now);
          return reduced(slower, TIMEOUT_FACTOR, now);
        },
        false);
  }

  /** Records that a statement failed because of the server, however fast. */
  public void failed(String server, int slots, long now) {
    update(server, slots, now, state -> state, false);
  }

  /** Returns the estimate for a server; a server without observations counts as a good one. */
  public Estimate estimate(String server, int slots) {
    State state = servers.get(server);
    return state == null ? new Estimate(slots, 1, 1) : state.estimate();
  }

  /**
   * Returns the expected time until a further statement completes, in milliseconds.
   *
   * @param server the name of the server
   * @param slots the announced slots
   * @param outstanding the statements of this VM at the server
   */
  public double expectedMillis(String server, int slots, int outstanding) {
    Estimate estimate = estimate(server, slots);
    return (outstanding + 1) * typicalMillis.get() * estimate.relativeTime() / estimate.limit();
  }

  /** Returns the expected time if the server were as good as the best one. */
  public double optimisticMillis(int slots, int outstanding) {
    return (outstanding + 1) * typicalMillis.get() / slots;
  }

  /** Returns whether the estimate for a server is out of date and a statement may update it. */
  public boolean isProbeDue(String server, long now) {
    State state = servers.get(server);
    return state != null
        && now - state.observedMillis() >= PROBE_INTERVAL_MILLIS
        && state.choicesOfOthers() >= STATEMENTS_PER_PROBE;
  }

  /**
   * Records the choice of a server for a statement.
   *
   * @param server the chosen server
   * @param candidates the names of the servers among which it was chosen
   */
  public void chosen(String server, Collection<String> candidates) {
    for (String candidate : candidates) {
      servers.computeIfPresent(
          candidate,
          (name, state) ->
              state.withChoicesOfOthers(
                  name.equals(server)
                      ? 0
                      : Math.min(STATEMENTS_PER_PROBE, state.choicesOfOthers() + 1)));
    }
  }

  /** Forgets the servers that are not among the given ones. */
  public void retain(Collection<String> knownServers) {
    servers.keySet().retainAll(knownServers);
  }

  /** Returns the estimates of all observed servers. */
  public Map<String, Estimate> estimates() {
    Map<String, Estimate> estimates = new ConcurrentHashMap<>();
    servers.forEach((server, state) -> estimates.put(server, state.estimate()));
    return estimates;
  }

  /** Returns the expected response time at a server of a typical statement, in milliseconds. */
  public double responseMillis(Estimate estimate) {
    return typicalMillis.get() * estimate.slowness();
  }

  int classCount() {
    return classes.size();
  }

  private void update(
      String server, int slots, long now, UnaryOperator<State> change, @Nullable Boolean success) {
    if (!servers.containsKey(server)
        && !makeRoom(servers, MAX_SERVERS, State::observedMillis, now)) {
      return;
    }
    servers.compute(
        server,
        (name, previous) -> {
          State state =
              previous == null
                  ? new State(new Estimate(slots, 1, 1), 1, Long.MIN_VALUE, now, 0)
                  : previous;
          State changed = change.apply(state);
          if (success != null) {
            Estimate estimate = changed.estimate();
            double weight = state.weight(now, 2 * MIN_WEIGHT, MAX_SUCCESS_WEIGHT);
            double rate =
                estimate.successRate() + weight * ((success ? 1 : 0) - estimate.successRate());
            changed = changed.with(estimate.limit(), estimate.slowness(), rate);
          }
          return changed.observedAt(now);
        });
  }

  /**
   * Compares a response time with the best recent one of its class, and updates the latter. A class
   * that only one server runs, such as the writes of a database, says nothing about other servers.
   */
  private @Nullable Comparison compare(
      String server, String statementClass, double millis, long now) {
    if (!classes.containsKey(statementClass)
        && !makeRoom(classes, MAX_CLASSES, Reference::usedMillis, now)) {
      return null;
    }
    Reference reference =
        classes.compute(
            statementClass,
            (name, previous) -> {
              if (previous == null) {
                return new Reference(millis, server, now - MAX_IDLE_MILLIS, now);
              }
              boolean best = server.equals(previous.bestServer());
              long otherMillis = best ? previous.otherServerMillis() : now;
              if (millis < previous.millis()) {
                double lower = (previous.millis() + millis) / 2;
                return new Reference(lower, server, otherMillis, now);
              }
              double drift = Math.min(1, (double) (now - previous.usedMillis()) / DRIFT_MILLIS);
              double higher = previous.millis() + drift * (millis - previous.millis());
              return new Reference(higher, previous.bestServer(), otherMillis, now);
            });
    typicalMillis.updateAndGet(typical -> typical + MIN_WEIGHT * (reference.millis() - typical));
    return new Comparison(
        millis / reference.millis(), now - reference.otherServerMillis() < MAX_IDLE_MILLIS);
  }

  private State afterTime(
      State state, Comparison comparison, int slots, int outstanding, long now) {
    double ratio = comparison.ratio();
    if (!comparison.comparable() && ratio <= state.estimate().slowness()) {
      return state;
    }
    State changed = withResponse(state, ratio, now);
    double slowness = changed.estimate().slowness();
    double best = state.bestSlowness();
    if (slowness < best) {
      best = slowness;
    } else if (outstanding <= 1) {
      best +=
          Math.min(1, (double) (now - state.observedMillis()) / DRIFT_MILLIS) * (slowness - best);
    }
    double limit = state.estimate().limit();
    double weight = state.weight(now, MIN_WEIGHT, MAX_WEIGHT);
    if (slowness > SHRINK_TOLERANCE * best) {
      if (outstanding <= 1) {
        // The load of this VM is not the cause, so a smaller limit would not help.
        return changed.withBestSlowness(best);
      }
      double gradient = Math.max(MIN_GRADIENT, SHRINK_TOLERANCE * best / slowness);
      limit *= 1 - weight * (1 - gradient);
    } else if (slowness <= GROWTH_TOLERANCE * best) {
      // Growth at low load is slower because a good response time there shows little.
      limit += weight * Math.sqrt(limit) * (outstanding >= limit / 2 ? 1 : 0.25);
    }
    return changed.withLimit(Math.clamp(limit, 1, slots)).withBestSlowness(best);
  }

  private static State withResponse(State state, double ratio, long now) {
    double slowness = state.estimate().slowness();
    double weight = state.weight(now, MIN_WEIGHT, MAX_WEIGHT);
    return state.withSlowness(slowness + weight * (ratio - slowness));
  }

  private static State reduced(State state, double factor, long now) {
    boolean sameBurst =
        state.reducedMillis() != Long.MIN_VALUE
            && now - state.reducedMillis() < REDUCTION_INTERVAL_MILLIS;
    return sameBurst
        ? state
        : state.withLimit(Math.max(1, state.estimate().limit() * factor)).reducedAt(now);
  }

  /** Removes the entry that was unused for longest if the map is full and it is old enough. */
  private static <V> boolean makeRoom(
      Map<String, V> map, int max, ToLongFunction<V> usedMillis, long now) {
    if (map.size() < max) {
      return true;
    }
    return map.entrySet().stream()
        .min(Comparator.comparingLong(entry -> usedMillis.applyAsLong(entry.getValue())))
        .filter(oldest -> now - usedMillis.applyAsLong(oldest.getValue()) >= MAX_IDLE_MILLIS)
        .map(oldest -> map.remove(oldest.getKey()) != null)
        .orElse(false);
  }
}
