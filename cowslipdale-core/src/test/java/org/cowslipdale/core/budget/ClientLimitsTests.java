package org.cowslipdale.core.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.budget.ByteBudget.Holder;
import org.cowslipdale.core.budget.ClientLimits.Reason;
import org.cowslipdale.core.budget.ClientLimits.Use;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClientLimitsTests {

  private static final ClientLimits LIMITS = ClientLimits.DEFAULT;

  /** Sessions are idle for minutes; an open one must have no time limit of its own. */
  @Test
  void idleOpenSessionIsNeverOverdue() {
    Use idle = new Use(true, Long.MAX_VALUE, 0, 0, 0, 0);

    assertThat(LIMITS.overdue(idle, LIMITS.helloMillis()), is(Optional.empty()));
  }

  @ParameterizedTest
  @CsvSource({
    "false, 15001, 0, 0, HELLO_TIMEOUT",
    "true, 15001, 30001, 0, MESSAGE_TIMEOUT",
    "true, 15001, 0, 30001, WRITE_TIMEOUT",
  })
  void closesOverdueConnection(
      boolean opened, long age, long read, long writeStall, Reason reason) {
    Use use = new Use(opened, age, read, 0, writeStall, 100);

    assertThat(LIMITS.overdue(use, LIMITS.helloMillis()), is(Optional.of(reason)));
  }

  /** The connection that holds most for longest is closed, and none that makes progress. */
  @Test
  void choosesStalledConnectionThatHoldsMostForLongest() {
    Use progressing = new Use(true, 60_000, 5_000, 100, 0, 1 << 20);
    Use small = new Use(true, 60_000, 5_000, 3_000, 0, 1 << 10);
    Use large = new Use(true, 60_000, 5_000, 3_000, 0, 1 << 18);
    Use unread = new Use(true, 60_000, 0, 0, 20_000, 1 << 18);

    assertThat(ClientLimits.victim(List.of(progressing)), is(-1));
    assertThat(ClientLimits.victim(List.of(progressing, small, large)), is(2));
    assertThat(ClientLimits.victim(List.of(progressing, unread, small, large)), is(1));
  }

  /** Large messages leave room for small ones. */
  @Test
  void largeMessagesGetThreeQuartersOfTheBudget() {
    ByteBudget budget = new ByteBudget(1_000);

    assertThat(budget.tryAdd(Holder.READING, 751, true), is(false));
    assertThat(budget.tryAdd(Holder.READING, 750, true), is(true));
    assertThat(budget.tryAdd(Holder.RUNNING, 250, false), is(true));
    assertThat(budget.tryAdd(Holder.RUNNING, 1, false), is(false));
    budget.add(Holder.READING, -750);
    assertThat(budget.total(), is(250L));
    assertThat(budget.held(Holder.RUNNING), is(250L));
  }
}
