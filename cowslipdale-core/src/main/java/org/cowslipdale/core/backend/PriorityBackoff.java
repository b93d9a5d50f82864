package org.cowslipdale.core.backend;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Backs off from busy servers by priority.
 *
 * <p>Each priority has an admission level at each server, as in overload control by DAGOR. A
 * rejection raises the level of its own priority and, by more, those of all lower ones; a success
 * lowers the level of its own priority and of all higher ones. A level also falls with time, so
 * that a priority without traffic recovers. The level determines for how long the VM sends nothing
 * of the priority after a rejection, and the interval between its statements while the level is
 * above 0. Priority 0 backs off for at most one response time of the server and has no interval.
 * All of this relies on the VM's own observations only, so it works without a control leader.
 *
 * <p>This class is thread-safe.
 */
public final class PriorityBackoff implements BackoffPolicy {

  /** Priorities from this one on share one level. */
  static final int LOWEST_PRIORITY = 7;

  /** The response time that is assumed until a server has answered. */
  private static final double INITIAL_RESPONSE_MILLIS = 10;

  /** Bounds of the response time on which back-offs are based. */
  private static final double MIN_RESPONSE_MILLIS = 4;

  private static final double MAX_RESPONSE_MILLIS = 40;

  private static final double SMOOTHING_FACTOR = 0.1;

  private static final double OWN_RAISE = 1;
  private static final double LOWER_PRIORITY_RAISE = 2;

  /**
   * Ten successes for one rejection keep a level, so about a tenth of what lower priorities send is
   * rejected under overload. With two successes, the rejections of 83 VMs kept the queue of the
   * server full, and priority 0 waited three times as long.
   */
  private static final double SUCCESS_REDUCTION = 0.1;

  private static final double HIGHEST_PRIORITY_SUCCESS_REDUCTION = 0.5;

  private static final double MAX_LEVEL = 8;

  /** The time in which a level falls by 1 without any traffic. */
  private static final double DECAY_MILLIS = 1_000;

  /** The maximum back-off of priority 1; it doubles for each of the next two priorities. */
  private static final long MAX_BACKOFF_MILLIS = 160;

  /** How long reads prefer other servers; several times the maximum back-off. */
  private static final long OVERLOADED_MILLIS = 2_000;

  /** Bounds the memory; servers without a back-off are removed beyond it. */
  private static final int MAX_SERVERS = 1_024;

  private final RandomGenerator random;
  private final Map<String, ServerState> servers = new ConcurrentHashMap<>();

  /**
   * The admission level of one priority.
   *
   * @param value the level at {@code updatedMillis}
   * @param updatedMillis when the level changed last
   * @param endMillis the time until which nothing is sent
   */
  private record Level(double value, long updatedMillis, long endMillis) {

    private static final Level NONE = new Level(0, Long.MIN_VALUE, Long.MIN_VALUE);

    /** Returns the level now. It does not fall during a back-off, whose result is not known yet. */
    double at(long now) {
      long since = Math.max(updatedMillis, endMillis);
      return value == 0 ? 0 : Math.max(0, value - Math.max(0, now - since) / DECAY_MILLIS);
    }

    Level withEnd(double newValue, long now, long newEndMillis) {
      return new Level(newValue, now, newEndMillis);
    }
  }

  private record ServerState(
      double responseMillis, long overloadedUntilMillis, List<Level> levels) {

    ServerState {
      levels = List.copyOf(levels);
    }
  }

  /**
   * Creates an instance without back-offs.
   *
   * @param random the source of the jitter that spreads the ends of back-offs
   */
  public PriorityBackoff(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  @Override
  public void rejected(String server, int priority, long now) {
    if (servers.size() >= MAX_SERVERS) {
      servers.values().removeIf(state -> now >= state.overloadedUntilMillis());
    }
    int index = index(priority);
    servers.compute(
        server,
        (name, previous) -> {
          ServerState state = orInitial(previous);
          List<Level> levels = new ArrayList<>(state.levels());
          for (int each = index; each <= LOWEST_PRIORITY; each++) {
            double raise = each == index ? OWN_RAISE : LOWER_PRIORITY_RAISE;
            levels.set(each, raised(state, each, raise, now));
          }
          return new ServerState(state.responseMillis(), now + OVERLOADED_MILLIS, levels);
        });
  }

  @Override
  public void served(String server, int priority, long responseMillis, long now) {
    int index = index(priority);
    servers.compute(
        server,
        (name, previous) -> {
          ServerState state = orInitial(previous);
          List<Level> levels = new ArrayList<>(state.levels());
          for (int each = 0; each <= index; each++) {
            Level level = levels.get(each);
            double reduction = each == 0 ? HIGHEST_PRIORITY_SUCCESS_REDUCTION : SUCCESS_REDUCTION;
            double lowered = Math.max(0, level.at(now) - reduction);
            boolean ends = each < index || lowered == 0;
            long end = ends ? Math.min(now, level.endMillis()) : level.endMillis();
            levels.set(each, level.withEnd(lowered, now, end));
          }
          double measured =
              Math.clamp((double) responseMillis, MIN_RESPONSE_MILLIS, MAX_RESPONSE_MILLIS);
          double response =
              state.responseMillis() + SMOOTHING_FACTOR * (measured - state.responseMillis());
          return new ServerState(response, state.overloadedUntilMillis(), levels);
        });
  }

  @Override
  public boolean trySend(String server, int priority, long now) {
    ServerState current = servers.get(server);
    int index = index(priority);
    if (current == null || current.levels().get(index).equals(Level.NONE)) {
      return true;
    }
    boolean[] granted = new boolean[1];
    servers.computeIfPresent(
        server,
        (name, state) -> {
          Level level = state.levels().get(index);
          granted[0] = now >= level.endMillis();
          double value = level.at(now);
          if (!granted[0] || value == 0 || index == 0) {
            return state;
          }
          long interval = Math.round(intervalMillis(state, index, value - 1));
          List<Level> levels = new ArrayList<>(state.levels());
          levels.set(index, level.withEnd(value, now, now + interval));
          return new ServerState(state.responseMillis(), state.overloadedUntilMillis(), levels);
        });
    return granted[0];
  }

  @Override
  public long endMillis(String server, int priority) {
    ServerState state = servers.get(server);
    return state == null ? Long.MIN_VALUE : state.levels().get(index(priority)).endMillis();
  }

  @Override
  public boolean isOverloaded(String server, long now) {
    ServerState state = servers.get(server);
    return state != null && now < state.overloadedUntilMillis();
  }

  /**
   * Returns the admission level of a priority at a server; 0 means that everything is sent.
   *
   * @param server the name of the server
   * @param priority the priority
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public double level(String server, int priority, long now) {
    ServerState state = servers.get(server);
    return state == null ? 0 : state.levels().get(index(priority)).at(now);
  }

  /**
   * Returns the level after a rejection. Rejections of statements that were sent before the current
   * back-off began do not raise it again.
   */
  private Level raised(ServerState state, int index, double raise, long now) {
    Level level = state.levels().get(index);
    if (now < level.endMillis()) {
      return level;
    }
    double value = Math.min(MAX_LEVEL, level.at(now) + raise);
    double durationMillis = jitter(index) * intervalMillis(state, index, value);
    return level.withEnd(value, now, now + Math.max(1, Math.round(durationMillis)));
  }

  /** The back-off of priority 0 never exceeds one response time; others vary by half. */
  private double jitter(int index) {
    return index == 0 ? 0.5 + random.nextDouble() / 2 : 0.5 + random.nextDouble();
  }

  private static double intervalMillis(ServerState state, int index, double level) {
    if (index == 0) {
      return state.responseMillis();
    }
    double max = (double) (MAX_BACKOFF_MILLIS << Math.min(2, index - 1));
    return Math.min(max, state.responseMillis() * Math.pow(2, level));
  }

  private static ServerState orInitial(@Nullable ServerState state) {
    return state == null
        ? new ServerState(
            INITIAL_RESPONSE_MILLIS,
            Long.MIN_VALUE,
            Collections.nCopies(LOWEST_PRIORITY + 1, Level.NONE))
        : state;
  }

  private static int index(int priority) {
    return Math.clamp(priority, 0, LOWEST_PRIORITY);
  }
}
