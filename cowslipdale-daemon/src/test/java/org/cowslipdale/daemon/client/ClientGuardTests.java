package org.cowslipdale.daemon.client;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cowslipdale.core.budget.ByteBudget.Holder;
import org.cowslipdale.core.budget.ClientLimits;
import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.client.ClientGuard.Port;
import org.cowslipdale.daemon.version.VmClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClientGuardTests {

  private static final int MAX_CONNECTIONS = 16;
  private static final long BUDGET = 4L << 20;

  private final Vertx vertx = Vertx.vertx();
  private ClientGuard guard;

  @BeforeEach
  void create() throws CowslipException {
    ClientLimits limits = new ClientLimits(64, 2 << 20, 30_000, 30_000, 500, 500, MAX_CONNECTIONS);
    guard = new ClientGuard(vertx, new VmClock(), new SimpleMeterRegistry(), BUDGET, limits);
  }

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /** Guards against silent connections that keep others out. */
  @Test
  void closesOldestUnopenedConnectionWhenThereAreTooMany() {
    AtomicInteger closed = new AtomicInteger();
    for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
      assertThat(guard.accept(Port.SESSIONS, closed::incrementAndGet).isPresent(), is(true));
    }

    assertThat(closed.get(), is(3 * MAX_CONNECTIONS - MAX_CONNECTIONS / 8 * 6));
  }

  /** An open session is never closed for another one, so that a new one is refused. */
  @Test
  void refusesConnectionWhenAllOthersAreOpened() {
    for (int i = 0; i < MAX_CONNECTIONS / 8 * 6; i++) {
      guard.accept(Port.SESSIONS, () -> {}).orElseThrow().setOpened(true);
    }

    assertThat(guard.accept(Port.SESSIONS, () -> {}).isPresent(), is(false));
    assertThat(guard.accept(Port.ADMIN, () -> {}).isPresent(), is(true));
  }

  @Test
  void closesConnectionWithoutFirstMessageInTime() throws Exception {
    guard.start();
    CompletableFuture<Void> closed = new CompletableFuture<>();
    AtomicInteger openedClosed = new AtomicInteger();
    guard.accept(Port.SESSIONS, openedClosed::incrementAndGet).orElseThrow().setOpened(true);
    guard.accept(Port.SESSIONS, () -> closed.complete(null));

    closed.get(10, TimeUnit.SECONDS);

    assertThat(openedClosed.get(), is(0));
  }

  /** What waits gets the memory that another message releases. */
  @Test
  void grantsReleasedMemoryToWaitingMessage() throws Exception {
    MemoryClaim first = guard.newClaim(Holder.READING);
    MemoryClaim second = guard.newClaim(Holder.READING);
    assertThat(first.tryHold(BUDGET / 4 * 3, true), is(true));
    assertThat(second.tryHold(BUDGET / 2, true), is(false));
    CompletableFuture<Boolean> granted = new CompletableFuture<>();
    guard.await(
        second, BUDGET / 2, true, () -> granted.complete(true), () -> granted.complete(false));

    first.end();

    assertThat(granted.get(10, TimeUnit.SECONDS), is(true));
    assertThat(guard.budget().total(), is(BUDGET / 2));
  }

  /** What waits too long is refused, and holds nothing afterwards. */
  @Test
  void refusesMessageThatWaitsTooLong() throws Exception {
    guard.start();
    MemoryClaim first = guard.newClaim(Holder.READING);
    MemoryClaim second = guard.newClaim(Holder.READING);
    first.hold(BUDGET);
    CompletableFuture<Boolean> granted = new CompletableFuture<>();
    guard.await(second, 1_000, false, () -> granted.complete(true), () -> granted.complete(false));

    assertThat(granted.get(20, TimeUnit.SECONDS), is(false));
    assertThat(second.held(), is(0L));
  }

  /** A budget without room for one large message, or for anything else, is a numbered error. */
  @ParameterizedTest
  @CsvSource({"0, 4000000", "1000000, 64000000", "50000000, 64000000"})
  void rejectsBudgetThatDoesNotFit(long maxHeldBytes, long heapBytes) {
    CowslipException e =
        assertThrows(
            CowslipException.class, () -> ClientGuard.checkedBudget(maxHeldBytes, heapBytes));

    assertThat(e.code(), is(ResultCode.BUDGET_DOES_NOT_FIT));
  }

  @Test
  void budgetIsThirdOfHeapWithoutSetting() throws CowslipException {
    assertThat(ClientGuard.checkedBudget(0, 64 << 20), is((64L << 20) / 3));
  }
}
