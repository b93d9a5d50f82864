package org.cowslipdale.core.placement;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.VmRecord;
import org.jspecify.annotations.Nullable;

/**
 * Limits the statements that this VM sends to servers that are cold, that is, slow for some time
 * after their start.
 *
 * <p>Of the VMs in the view that serve callers, the first K by rendezvous hashing for the server
 * may use it, and each of them sends an equal share of the requests that the server takes per
 * second. K is at most that number, so that the shares do not add up to more. No message is needed.
 * This class is thread-safe.
 */
public final class ColdStartLimit {

  /**
   * The length of the window in which a share may be used once: one second, plus 100 ms by which
   * statements that were sent a second apart may arrive closer together.
   */
  static final long WINDOW_MILLIS = 1_100;

  /**
   * The highest share, which bounds the memory for a server. An entry VM sends less than that in a
   * second.
   */
  static final int MAX_SHARE = 1_000;

  private final String vm;
  private final Map<String, Window> windows = new ConcurrentHashMap<>();
  private final LongAdder sent = new LongAdder();
  private final LongAdder deferred = new LongAdder();

  /**
   * Creates an instance that has sent nothing.
   *
   * @param vm the name of this VM
   */
  public ColdStartLimit(String vm) {
    this.vm = requireNonNull(vm, "vm");
  }

  /** The statements that were sent to a server, and the share in the latest view. */
  private static final class Window {

    private final ArrayDeque<Long> sentMillis = new ArrayDeque<>();
    private @Nullable Map<String, VmRecord> shareOfVms;
    private double shareOfRate;
    private int share;

    /** Returns when the next statement may be sent, or {@link Long#MIN_VALUE} for now. */
    private long notBeforeMillis(int maxSent, long now) {
      while (!sentMillis.isEmpty() && sentMillis.getFirst() <= now - WINDOW_MILLIS) {
        sentMillis.removeFirst();
      }
      int excess = sentMillis.size() - maxSent;
      if (excess < 0) {
        return Long.MIN_VALUE;
      }
      Iterator<Long> times = sentMillis.iterator();
      for (int i = 0; i < excess; i++) {
        times.next();
      }
      return times.next() + WINDOW_MILLIS;
    }
  }

  /**
   * Returns whether a server is cold and a limit for that is declared.
   *
   * @param server the server
   * @param view the current view
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public static boolean isCold(BackendServer server, View view, long now) {
    Database database = view.configuration().databases().get(server.announcement().database());
    return database != null
        && database.coldRequestsPerSecond() > 0
        && now < server.coldUntilMillis(database.coldStartMillis());
  }

  /**
   * Returns the time before which this VM may not send a statement to a server, on the VM's
   * monotonic clock in milliseconds; {@link Long#MIN_VALUE} if it may send one now.
   *
   * @param server the server
   * @param view the current view
   * @param now the current time on the VM's monotonic clock, in milliseconds
   */
  public long notBeforeMillis(BackendServer server, View view, long now) {
    return isCold(server, view, now) ? check(server, view, now, false) : Long.MIN_VALUE;
  }

  /**
   * Counts a statement that is about to be sent, if it may be sent now.
   *
   * @param server the server
   * @param view the current view
   * @param now the current time on the VM's monotonic clock, in milliseconds
   * @return whether the statement may be sent
   */
  public boolean trySend(BackendServer server, View view, long now) {
    if (!isCold(server, view, now)) {
      return true;
    }
    boolean permitted = check(server, view, now, true) <= now;
    (permitted ? sent : deferred).increment();
    return permitted;
  }

  /**
   * Returns how many statements this VM may send to a cold server per window.
   *
   * @param server the name of the server
   * @param view the current view
   * @param ratePerSecond the requests per second that the server takes
   */
  public int share(String server, View view, double ratePerSecond) {
    VmRecord self = view.vms().get(vm);
    if (self == null || !mayUse(self)) {
      return 0;
    }
    long ownScore = Placement.score(server, vm);
    int vms = 0;
    int rank = 0;
    for (VmRecord other : view.vms().values()) {
      if (mayUse(other)) {
        vms++;
        int order = Long.compareUnsigned(Placement.score(server, other.name()), ownScore);
        boolean before = order > 0 || (order == 0 && other.name().compareTo(vm) < 0);
        rank += before ? 1 : 0;
      }
    }
    long rate = (long) ratePerSecond;
    long users = Math.max(1, Math.min(vms, rate));
    return rank < users ? Math.clamp(rate / users, 1, MAX_SHARE) : 0;
  }

  /** Returns how many statements were sent to cold servers. */
  public long sentCount() {
    return sent.sum();
  }

  /** Returns how often a statement could not be sent because the share was used up. */
  public long deferredCount() {
    return deferred.sum();
  }

  /**
   * Forgets all other servers.
   *
   * @param servers the names of the known servers
   */
  public void retain(Set<String> servers) {
    windows.keySet().retainAll(servers);
  }

  private static boolean mayUse(VmRecord vm) {
    return vm.active() && vm.servesCallers();
  }

  private long check(BackendServer server, View view, long now, boolean send) {
    Database database =
        requireNonNull(view.configuration().databases().get(server.announcement().database()));
    Window window = windows.computeIfAbsent(server.name(), name -> new Window());
    synchronized (window) {
      double rate = database.coldRequestsPerSecond();
      // Ranking thousands of VMs for each statement would take milliseconds. The map of VMs stays
      // the
      // same object while no VM changes, so that the comparison is cheap.
      if (!view.vms().equals(window.shareOfVms) || window.shareOfRate != rate) {
        window.share = share(server.name(), view, rate);
        window.shareOfRate = rate;
      }
      window.shareOfVms = view.vms();
      long coldUntilMillis = server.coldUntilMillis(database.coldStartMillis());
      if (window.share == 0) {
        return coldUntilMillis;
      }
      long notBefore = window.notBeforeMillis(window.share, now);
      if (notBefore <= now && send) {
        window.sentMillis.addLast(now);
      }
      return Math.min(notBefore, coldUntilMillis);
    }
  }
}
