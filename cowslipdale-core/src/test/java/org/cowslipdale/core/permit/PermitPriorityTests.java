package org.cowslipdale.core.permit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class PermitPriorityTests {

  private static final String SERVER = "bonds-1";

  private final PermitIssuer issuer = new PermitIssuer();
  private final List<String> vms = new ArrayList<>();

  /** Guards against connections for a low class while a higher one waits for the server. */
  @Test
  void grantsHigherPrioritiesFirst() {
    demand("low", 2, 3);
    demand("high", 0, 3);
    demand("middle", 1, 3);

    assertThat(grants(0), contains("high", "middle", "low"));
  }

  /** A VM of an earlier version sends no priority and must not be ahead of the highest one. */
  @Test
  void demandWithoutPriorityCountsAsLowest() {
    demand("older", null, 2);
    demand("low", 5, 2);
    demand("high", 0, 2);

    assertThat(grants(0), contains("high", "low"));
  }

  /** Without priorities the order is that of the demands, as before. */
  @Test
  void demandsOfEqualPriorityKeepTheirOrder() {
    demand("first", null, 3);
    demand("second", null, 3);
    demand("third", null, 3);

    assertThat(grants(0), contains("first", "second", "third"));
  }

  /** Guards against VMs with low demands that get no connection while higher ones continue. */
  @Test
  void oneInEightGrantsGoesToTheOldestDemand() {
    int rounds = 64;
    for (int i = 0; i < rounds; i++) {
      vms.add("holder-" + i);
      issuer.applyReport("holder-" + i, new PermitReport(1, 0, Map.of(SERVER, 1)), 0);
    }
    int lowGrants = 0;
    for (int i = 0; i < rounds; i++) {
      demand("low-" + i, 2, rounds);
      demand("high-a" + i, 0, rounds);
      demand("high-b" + i, 0, rounds);
      issuer.applyReport("holder-" + i, new PermitReport(1, 0, Map.of()), i);
      for (String granted : grants(i)) {
        lowGrants += granted.startsWith("low") ? 1 : 0;
      }
    }

    assertThat(lowGrants, is(greaterThanOrEqualTo(8)));
  }

  private void demand(String vm, @Nullable Integer priority, int capacity) {
    vms.add(vm);
    issuer.applyReport(vm, new PermitReport(1, 0, Map.of()), 0);
    issuer.addDemand(vm, new PermitDemand(1, 1, SERVER, capacity, priority), 0);
  }

  private List<String> grants(long now) {
    return issuer.answerDemands(vms, now).stream()
        .filter(PermitIssuer.Answer::granted)
        .map(PermitIssuer.Answer::vm)
        .toList();
  }
}
