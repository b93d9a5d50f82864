package org.cowslipdale.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.BackendRegistry;
import org.cowslipdale.core.backend.BackendServer;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ColdStartLimitTests {

  private static final int VMS = 77;
  private static final long START = 100_000;
  private static final long COLD_MILLIS = 20_000;

  /** What the platform allows above the declared rate. */
  private static final double OVERAGE = 1.5;

  private static final int SLACK = 5;

  /** By how much the way of one statement may be shorter than that of the one before. */
  private static final int JITTER_MILLIS = 100;

  /**
   * Guards against VMs that overload a cold server although each of them keeps its limit: those
   * that joined early are cut off, and do not know the VMs that joined after them.
   */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 3, 20, 50.9, 200})
  void sumStaysWithinBoundWhenVmsAreCutOffBeforeOthersJoin(double rate) {
    View first = view(rate, 0, 50);
    View second = view(rate, 0, 64);
    View third = view(rate, 0, VMS);

    List<Long> arrivals =
        sendAsFastAsPossible(i -> i < 50 ? first : i < 64 ? second : third, server(0, 1));

    assertThat((double) busiestSecond(arrivals), lessThanOrEqualTo(rate * OVERAGE + SLACK));
  }

  /** Guards against the same when VMs were replaced that some VMs still know. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 3, 20, 50.9, 200})
  void sumStaysWithinBoundWhenSomeVmsKnowReplacedMembers(double rate) {
    View all = view(rate, 0, VMS);
    View withReplaced = view(rate, -6, VMS - 6);
    View withoutLast = view(rate, 0, VMS - 12);

    List<Long> arrivals =
        sendAsFastAsPossible(
            i -> i < 30 ? all : i < VMS - 12 ? withReplaced : i % 2 == 0 ? all : withoutLast,
            server(0, 1));

    assertThat((double) busiestSecond(arrivals), lessThanOrEqualTo(rate * OVERAGE + SLACK));
  }

  /** Guards against a design that needs the margin, or that leaves most of the rate unused. */
  @ParameterizedTest
  @ValueSource(doubles = {1, 3, 20, 50.9, 200})
  void vmsWithEqualViewsUseTheRateAndNoMore(double rate) {
    View view = view(rate, 0, VMS);

    List<Long> arrivals = sendAsFastAsPossible(i -> view, server(0, 1));

    assertThat((double) busiestSecond(arrivals), lessThanOrEqualTo(rate));
    assertThat((double) arrivals.size(), greaterThan(rate * (COLD_MILLIS / 2) / 1_000 * 0.6));
  }

  /** Guards against a limit that is lost, or lasts, when the server restarts. */
  @Test
  void countsAcrossIncarnationsOfTheServer() {
    View view = view(1, 0, 1);
    ColdStartLimit limit = new ColdStartLimit(vmName(0));

    assertThat(limit.trySend(server(0, 1), view, START), is(true));
    assertThat(limit.trySend(server(0, 2), view, START + 500), is(false));
    assertThat(limit.trySend(server(0, 2), view, START + 1_200), is(true));
  }

  /** Guards against sessions of a VM that use the same share at the same moment. */
  @Test
  void sessionsOfOneVmShareItsLimit() throws InterruptedException {
    View view = view(5, 0, 1);
    BackendServer server = server(0, 1);
    for (int round = 0; round < 200; round++) {
      ColdStartLimit limit = new ColdStartLimit(vmName(0));
      CountDownLatch start = new CountDownLatch(1);
      AtomicInteger permitted = new AtomicInteger();
      List<Thread> sessions = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        sessions.add(
            Thread.startVirtualThread(
                () -> {
                  awaitStart(start);
                  permitted.addAndGet(limit.trySend(server, view, START) ? 1 : 0);
                }));
      }
      start.countDown();
      for (Thread session : sessions) {
        session.join();
      }
      assertThat(permitted.get(), is(5));
    }
  }

  private static void awaitStart(CountDownLatch start) {
    try {
      start.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Test
  void tellsWhenTheNextStatementMayBeSent() {
    View view = view(2, 0, 1);
    ColdStartLimit limit = new ColdStartLimit(vmName(0));
    limit.trySend(server(0, 1), view, START);
    limit.trySend(server(0, 1), view, START + 300);

    assertThat(
        limit.notBeforeMillis(server(0, 1), view, START + 400),
        is(START + ColdStartLimit.WINDOW_MILLIS));
    assertThat(limit.deferredCount(), is(0L));
    assertThat(limit.sentCount(), is(2L));
  }

  /** Guards against a share that stays after the members or the rate have changed. */
  @Test
  void followsChangesOfTheView() {
    ColdStartLimit limit = new ColdStartLimit(vmName(0));
    assertThat(limit.trySend(server(0, 1), view(1, 0, 1), START), is(true));
    assertThat(limit.trySend(server(0, 1), view(1, 0, 1), START + 1), is(false));

    assertThat(limit.trySend(server(0, 1), view(2, 0, 1), START + 1), is(true));
    assertThat(limit.trySend(server(0, 1), view(0, 0, 1), START + 1), is(true));
    assertThat(limit.trySend(server(0, 1), View.EMPTY, START + 1), is(true));
  }

  /** A VM that is not registered yet is in nobody's count. */
  @Test
  void vmOutsideItsViewSendsNothingUntilTheServerIsWarm() {
    View view = view(100, 0, 5);
    ColdStartLimit limit = new ColdStartLimit("unknown");

    assertThat(limit.trySend(server(0, 1), view, START), is(false));
    assertThat(limit.notBeforeMillis(server(0, 1), view, START), is(START + COLD_MILLIS));
    assertThat(limit.trySend(server(0, 1), view, START + COLD_MILLIS), is(true));
  }

  /**
   * The remaining time counts down from the announcement. A server that announces none is cold from
   * its first announcement, not from each.
   */
  @ParameterizedTest
  @CsvSource({
    "4000, 4000, 3999, true",
    "4000, 4000, 4000, false",
    "4000, 0, 0, false",
    "0, 0, 0, false",
    "0, 2000, 1999, true",
    ", , 9999, true",
    ", , 10000, false"
  })
  void isColdUntilTheAnnouncedTimeOrAfterItsStart(
      @Nullable Long firstRemaining,
      @Nullable Long secondRemaining,
      long afterSecond,
      boolean cold) {
    BackendRegistry registry = new BackendRegistry(60_000);
    registry.addAnnouncement(announcement(1, 1, firstRemaining), 0, START - 10_000);
    registry.addAnnouncement(announcement(1, 2, secondRemaining), 0, START);
    BackendServer server = registry.group("bonds").server("bonds-1").orElseThrow();

    assertThat(ColdStartLimit.isCold(server, view(1, 0, 1), START + afterSecond), is(cold));
  }

  @Test
  void newIncarnationIsColdAgain() {
    BackendRegistry registry = new BackendRegistry(60_000);
    registry.addAnnouncement(announcement(1, 1, null), 0, START - 50_000);
    registry.addAnnouncement(announcement(2, 1, null), 0, START);
    BackendServer server = registry.group("bonds").server("bonds-1").orElseThrow();

    assertThat(ColdStartLimit.isCold(server, view(1, 0, 1), START + 19_000), is(true));
  }

  /** Guards against the loss of the start of the incarnation when a reply tells a position. */
  @Test
  void recordedPositionKeepsTheTimeOfTheStart() {
    BackendRegistry registry = new BackendRegistry(60_000);
    registry.addAnnouncement(announcement(1, 1, null), 0, START);
    registry.recordOffset("bonds", "bonds-1", 0, 70);
    BackendServer server = registry.group("bonds").server("bonds-1").orElseThrow();

    assertThat(ColdStartLimit.isCold(server, view(1, 0, 1), START + COLD_MILLIS), is(false));
    assertThat(server.observedOffset(), is(70L));
  }

  /** Returns the times at which the statements of all VMs arrive. */
  private static List<Long> sendAsFastAsPossible(IntFunction<View> viewOf, BackendServer server) {
    Random random = new Random(7);
    List<ColdStartLimit> limits =
        IntStream.range(0, VMS).mapToObj(i -> new ColdStartLimit(vmName(i))).toList();
    List<View> views = IntStream.range(0, VMS).mapToObj(viewOf).toList();
    List<Long> arrivals = new ArrayList<>();
    for (long now = START; now < START + COLD_MILLIS / 2; now++) {
      for (int i = 0; i < VMS; i++) {
        while (limits.get(i).trySend(server, views.get(i), now)) {
          arrivals.add(now + random.nextInt(JITTER_MILLIS));
        }
      }
    }
    arrivals.sort(null);
    return arrivals;
  }

  private static int busiestSecond(List<Long> arrivals) {
    int most = 0;
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= 1_000) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  private static BackendServer server(long coldSinceMillis, long incarnation) {
    BackendRegistry registry = new BackendRegistry(60_000);
    registry.addAnnouncement(announcement(incarnation, 1, COLD_MILLIS - coldSinceMillis), 0, START);
    return registry.group("bonds").server("bonds-1").orElseThrow();
  }

  private static Announcement announcement(
      long incarnation, long sequence, @Nullable Long remaining) {
    return new Announcement(
        "bonds",
        "bonds-1",
        "bonds-1:1",
        "a",
        "north",
        ServerRole.REPLICA,
        LogPosition.ZERO,
        0,
        4,
        70,
        false,
        incarnation,
        sequence,
        remaining);
  }

  private static View view(double rate, int firstVm, int endVm) {
    Configuration configuration =
        new Configuration(
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of("bonds", new Database("bonds", 3, 70, 0, COLD_MILLIS, rate)));
    View view =
        View.EMPTY
            .apply(
                new ViewCommand.ChangeConfiguration(
                    "r", 0, 0, Configuration.EMPTY.changeTo(configuration)))
            .view();
    for (int i = firstVm; i < endVm; i++) {
      view = register(view, vmName(i), true);
    }
    for (int i = 0; i < 6; i++) {
      view = register(view, "control-" + i, false);
    }
    return view;
  }

  private static View register(View view, String name, boolean servesCallers) {
    VmRecord vm =
        new VmRecord(name, "domain-" + name.length(), "north", "a:1", 0, 0, true, servesCallers);
    return view.apply(new ViewCommand.RegisterVm(vm, 0)).view();
  }

  private static String vmName(int index) {
    return "10.0.0." + index + ":7220";
  }
}
