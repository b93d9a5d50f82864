package org.cowslipdale.core.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.Database;
import org.cowslipdale.core.view.Freshness;
import org.cowslipdale.core.view.SessionRoute;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HomeRegionsTests {

  /** Guards against a restriction that is not binding beside another, or that is none if empty. */
  @ParameterizedTest
  @CsvSource({
    "'', '', north, true",
    "north, '', north, true",
    "north, '', south, false",
    "'', south, south, true",
    "'', south, north, false",
    "north south, south east, south, true",
    "north south, south east, north, false",
    "north south, south east, east, false",
    "north, south, north, false",
    "north, south, south, false",
  })
  void bothRestrictionsAreBinding(
      String ofRoute, String ofCustomer, String region, boolean allowed) {
    HomeRegions regions = HomeRegions.of(route(ofRoute), customer(ofCustomer));

    assertThat(regions.allows(region), is(allowed));
  }

  @Test
  void sessionWithoutCustomerIsRestrictedByItsRoute() {
    HomeRegions regions = HomeRegions.of(route("north"), null);

    assertThat(regions.allows("south"), is(false));
  }

  /** Guards against a statement that waits and is then sent by a replaced configuration. */
  @Test
  void followsTheCurrentConfiguration() {
    HomeRegions admitted = HomeRegions.of(route(""), customer(""));

    HomeRegions current = admitted.current(configuration("north", "north south"), "shop", "acme");

    assertThat(current, is(new HomeRegions(true, Set.of("north"))));
  }

  /** Guards against the loss of a restriction when its route or customer is removed. */
  @Test
  void staysInForceWhenTheCustomerIsRemoved() {
    HomeRegions admitted = HomeRegions.of(route(""), customer("south"));

    HomeRegions current = admitted.current(configuration("", ""), "shop", "other");

    assertThat(current, is(new HomeRegions(true, Set.of("south"))));
  }

  private static Configuration configuration(String ofRoute, String ofCustomer) {
    return new Configuration(
        Map.of(),
        Map.of("acme", customer(ofCustomer)),
        Map.of(),
        Map.of("bonds", new Database("bonds", 3)),
        Map.of("shop", route(ofRoute)),
        30_000);
  }

  private static SessionRoute route(String regions) {
    return new SessionRoute(
        "shop", "bonds", new Freshness.Latest(), 800, 1_000, 0, false, names(regions));
  }

  private static Customer customer(String regions) {
    return new Customer("acme", 1, 1, Set.of(), names(regions));
  }

  private static Set<String> names(String text) {
    return text.isEmpty() ? Set.of() : Set.copyOf(List.of(text.split(" ", -1)));
  }
}
