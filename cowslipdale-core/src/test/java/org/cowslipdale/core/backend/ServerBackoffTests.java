package org.cowslipdale.core.backend;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how VMs leave servers alone that are busy. */
class ServerBackoffTests {

  private static final String SERVER = "bonds-1";
  private static final int SLOTS = 3;
  private static final int QUEUE_CAPACITY = 24;
  private static final long SERVICE_MILLIS = 18;

  private final Random random = new Random(7);
  private final PriorityQueue<Long> completionMillis = new PriorityQueue<>();
  private int arrivals;

  private record Statement(int vm, long dueMillis) {}

  @Test
  void backoffGrowsWhileServerStaysBusyAndEndsWhenItServes() {
    ServerBackoff backoff = new ServerBackoff(random);
    long now = 1_000;
    long longest = 0;
    for (int i = 0; i < 10; i++) {
      backoff.rejected(SERVER, now);
      longest = Math.max(longest, backoff.endMillis(SERVER) - now);
      now = backoff.endMillis(SERVER);
    }
    assertThat(longest, is(greaterThan(80L)));
    assertThat(longest, is(lessThan(481L)));

    backoff.served(SERVER, now);
    assertThat(backoff.endMillis(SERVER), is(now));
    assertThat(backoff.isOverloaded(SERVER, now), is(true));
    assertThat(backoff.isOverloaded(SERVER, now + 2_000), is(false));
  }

  /** A burst of several times what the server takes waits at the VMs. */
  @ParameterizedTest
  @ValueSource(ints = {9, 64, 300})
  void limitsArrivalsAtFullServer(int vms) {
    List<ServerBackoff> backoffs = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      backoffs.add(new ServerBackoff(random));
    }
    List<Statement> waiting = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      waiting.add(new Statement(random.nextInt(vms), random.nextInt(500)));
    }

    int served = 0;
    for (long now = 0; now < 4_000; now++) {
      List<Statement> later = new ArrayList<>();
      for (Statement statement : waiting) {
        ServerBackoff backoff = backoffs.get(statement.vm());
        boolean due = statement.dueMillis() <= now && backoff.endMillis(SERVER) <= now;
        if (!due) {
          later.add(statement);
        } else if (accepts(now)) {
          backoff.served(SERVER, now);
          served++;
        } else {
          backoff.rejected(SERVER, now);
          later.add(statement);
        }
      }
      waiting = later;
    }

    assertThat(served, is(200));
    assertThat(arrivals, is(lessThan(3 * served)));
  }

  private boolean accepts(long now) {
    arrivals++;
    while (!completionMillis.isEmpty() && completionMillis.peek() <= now) {
      completionMillis.remove();
    }
    if (completionMillis.size() >= SLOTS + QUEUE_CAPACITY) {
      return false;
    }
    List<Long> busy = new ArrayList<>(completionMillis);
    busy.sort(null);
    long free = busy.size() < SLOTS ? now : busy.get(busy.size() - SLOTS);
    completionMillis.add(Math.max(now, free) + SERVICE_MILLIS);
    return true;
  }
}
