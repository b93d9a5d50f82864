package org.cowslipdale.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.cowslipdale.core.view.VmRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class GatewaysTests {

  private static final int CUSTOMERS = 84;

  /** Guards against statements that cross failure domains, or reach a VM without callers. */
  @Test
  void choosesActiveCallerServingVmsOfTheFailureDomain() {
    List<VmRecord> vms = new ArrayList<>(fleet(20));
    vms.add(new VmRecord("control", "a", "r1", "address", 0, Long.MAX_VALUE, true, false));
    vms.add(new VmRecord("removed", "a", "r1", "address", 0, Long.MAX_VALUE, false, true));

    for (int customer = 0; customer < CUSTOMERS; customer++) {
      List<VmRecord> candidates = Gateways.candidates(key(customer, "a"), vms);
      assertThat(candidates, hasSize(2));
      assertThat(candidates.stream().map(VmRecord::failureDomain).toList(), everyItem(is("a")));
      assertThat(candidates.stream().allMatch(vm -> vm.active() && vm.servesCallers()), is(true));
      assertThat(candidates.get(0), is(not(candidates.get(1))));
    }
  }

  /** Guards against VMs that list the same members in another order and choose other gateways. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void choiceDoesNotDependOnTheOrderOfTheVms(long seed) {
    List<VmRecord> shuffled = new ArrayList<>(fleet(83));
    Collections.shuffle(shuffled, new Random(seed));

    for (int customer = 0; customer < CUSTOMERS; customer++) {
      assertThat(
          Gateways.candidates(key(customer, "b"), shuffled),
          is(Gateways.candidates(key(customer, "b"), fleet(83))));
    }
  }

  /** Guards against a loss of one VM that moves the connections of all customers. */
  @Test
  void lossOfTheGatewayPromotesItsFallbackAndNobodyElse() {
    List<VmRecord> vms = fleet(83);
    VmRecord lost = Gateways.candidates(key(0, "a"), vms).getFirst();
    List<VmRecord> remaining = vms.stream().filter(vm -> !vm.equals(lost)).toList();

    for (int customer = 0; customer < CUSTOMERS; customer++) {
      List<VmRecord> before = Gateways.candidates(key(customer, "a"), vms);
      VmRecord expected = before.get(0).equals(lost) ? before.get(1) : before.get(0);
      assertThat(Gateways.candidates(key(customer, "a"), remaining).getFirst(), is(expected));
    }
  }

  /** Guards against one VM that holds the connections of most customers. */
  @Test
  void customersAreSpreadOverTheVmsOfADomain() {
    Map<String, Integer> customersByVm = new HashMap<>();
    for (int customer = 0; customer < 1_000; customer++) {
      customersByVm.merge(
          Gateways.candidates(key(customer, "a"), fleet(60)).getFirst().name(), 1, Integer::sum);
    }

    assertThat(customersByVm.keySet(), hasSize(10));
    assertThat(customersByVm.values(), everyItem(greaterThan(60)));
    assertThat(customersByVm.values(), everyItem(lessThan(140)));
  }

  @Test
  void hasNoGatewayWithoutVms() {
    assertThat(Gateways.candidates(key(0, "a"), List.of()), is(empty()));
  }

  @ParameterizedTest
  @CsvSource({"0, true", "3, true", "4, false", "34, false"})
  void isNeededBelowAShareOfFour(int share, boolean needed) {
    assertThat(Gateways.isNeeded(share), is(needed));
  }

  /** Guards against bytes that reach a region in which they may not be handled. */
  @Test
  void homeRegionsExcludeGatewaysOfOtherRegions() {
    VmRecord gateway = fleet(1).getFirst();

    assertThat(Gateways.isAllowed(Set.of(), gateway), is(true));
    assertThat(Gateways.isAllowed(Set.of("r1", "r2"), gateway), is(true));
    assertThat(Gateways.isAllowed(Set.of("r2"), gateway), is(false));
  }

  @Test
  void avoidanceDoublesUpToEightSeconds() {
    GatewayHealth health = new GatewayHealth();
    long now = 0;
    for (long expected : new long[] {1_000, 2_000, 4_000, 8_000, 8_000}) {
      assertThat(health.failed("vm1", now), is(expected));
      assertThat(health.isAvoided("vm1", now + expected - 1), is(true));
      assertThat(health.isAvoided("vm1", now + expected), is(false));
      now += expected;
    }
  }

  /** Guards against a burst of statements in progress that all fail and multiply the avoidance. */
  @Test
  void failuresWhileAvoidedDoNotExtendTheAvoidance() {
    GatewayHealth health = new GatewayHealth();
    health.failed("vm1", 0);
    health.failed("vm1", 10);
    health.failed("vm1", 20);

    assertThat(health.isAvoided("vm1", 999), is(true));
    assertThat(health.isAvoided("vm1", 1_000), is(false));
  }

  /** Guards against a dead gateway that delays all statements whenever its avoidance ends. */
  @Test
  void onlyOneStatementTriesAVmAfterItsAvoidance() {
    GatewayHealth health = new GatewayHealth();
    assertThat(health.tryUse("vm1", 0), is(true));
    health.failed("vm1", 0);

    assertThat(health.tryUse("vm1", 999), is(false));
    assertThat(health.tryUse("vm1", 1_000), is(true));
    assertThat(health.tryUse("vm1", 1_001), is(false));
    assertThat(health.tryUse("vm1", 1_600), is(true));
    assertThat(health.failed("vm1", 2_000), is(2_000L));
    health.answered("vm1");
    assertThat(health.tryUse("vm1", 2_001), is(true));
    assertThat(health.tryUse("vm1", 2_001), is(true));
  }

  @Test
  void anAnswerEndsTheAvoidance() {
    GatewayHealth health = new GatewayHealth();
    health.failed("vm1", 0);
    health.answered("vm1");

    assertThat(health.isAvoided("vm1", 1), is(false));
    assertThat(health.failed("vm1", 1), is(1_000L));
  }

  private static Gateways.Key key(int customer, String domain) {
    return new Gateways.Key("customer-" + customer, "bonds", domain);
  }

  /** Returns VMs spread over 6 failure domains of 2 regions. */
  private static List<VmRecord> fleet(int count) {
    return IntStream.range(0, count)
        .mapToObj(
            i -> {
              String domain = String.valueOf((char) ('a' + i % 6));
              String region = i % 6 < 3 ? "r1" : "r2";
              return new VmRecord("vm" + i, domain, region, "address", 0, Long.MAX_VALUE, true);
            })
        .toList();
  }
}
