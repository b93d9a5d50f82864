package org.cowslipdale.core.placement;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.Set;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.SessionRoute;
import org.jspecify.annotations.Nullable;

/**
 * The regions in which the data of a statement may be handled.
 *
 * <p>A route and a customer may each restrict them; where both do, both restrictions apply. The
 * result may then contain no region, which is not the same as no restriction.
 *
 * @param restricted whether only {@code regions} are allowed; otherwise every region is
 * @param regions the allowed regions; empty if not restricted
 */
public record HomeRegions(boolean restricted, Set<String> regions) {

  /** No restriction: every region is allowed. */
  public static final HomeRegions EVERYWHERE = new HomeRegions(false, Set.of());

  /** Copies the set. */
  public HomeRegions {
    regions = Set.copyOf(regions);
  }

  /**
   * Returns the restriction that a route and a customer declare together.
   *
   * @param route the route
   * @param customer the customer, or null if the session belongs to none
   */
  public static HomeRegions of(SessionRoute route, @Nullable Customer customer) {
    Set<String> ofRoute = route.homeRegions();
    Set<String> ofCustomer = customer == null ? Set.of() : customer.homeRegions();
    if (ofRoute.isEmpty() && ofCustomer.isEmpty()) {
      return EVERYWHERE;
    }
    if (ofRoute.isEmpty() || ofCustomer.isEmpty()) {
      return new HomeRegions(true, ofRoute.isEmpty() ? ofCustomer : ofRoute);
    }
    Set<String> both = new HashSet<>(ofRoute);
    both.retainAll(ofCustomer);
    return new HomeRegions(true, both);
  }

  /**
   * Returns the restriction that a configuration declares for a route and a customer, or this one
   * if the configuration does not contain them any more.
   *
   * @param configuration the current configuration
   * @param route the name of the route
   * @param customer the name of the customer, or null if the session belongs to none
   */
  public HomeRegions current(Configuration configuration, String route, @Nullable String customer) {
    SessionRoute currentRoute = configuration.sessionRoutes().get(requireNonNull(route, "route"));
    Customer currentCustomer = customer == null ? null : configuration.customers().get(customer);
    boolean removed = currentRoute == null || (customer != null && currentCustomer == null);
    return removed ? this : of(currentRoute, currentCustomer);
  }

  /**
   * Returns whether data may be handled in a region.
   *
   * @param region the region
   */
  public boolean allows(String region) {
    return !restricted || regions.contains(region);
  }
}
