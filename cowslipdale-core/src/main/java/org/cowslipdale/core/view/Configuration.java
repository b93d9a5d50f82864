package org.cowslipdale.core.view;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * The fleet-wide configuration that operators declare: maps of declared objects, keyed by name.
 *
 * @param classes the work classes
 * @param customers the customers
 * @param openRoutes the routes that need no key
 * @param databases the database groups
 * @param sessionRoutes the routes that callers' sessions may open
 * @param transactionIdleMillis the longest time that a session's transaction may stay idle, in
 *     milliseconds
 */
public record Configuration(
    Map<String, WorkClass> classes,
    Map<String, Customer> customers,
    Map<String, OpenRoute> openRoutes,
    Map<String, Database> databases,
    Map<String, SessionRoute> sessionRoutes,
    long transactionIdleMillis) {

  /** The longest idle time of a transaction if none is declared, in milliseconds. */
  public static final long DEFAULT_TRANSACTION_IDLE_MILLIS = 30_000;

  /** The empty configuration. */
  public static final Configuration EMPTY =
      new Configuration(Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public Configuration {
    classes = Map.copyOf(classes);
    customers = Map.copyOf(customers);
    openRoutes = Map.copyOf(openRoutes);
    databases = Map.copyOf(databases);
    sessionRoutes = Map.copyOf(sessionRoutes);
  }

  /**
   * Creates a configuration without session routes and with the default idle limit.
   *
   * @param classes the work classes
   * @param customers the customers
   * @param openRoutes the routes that need no key
   * @param databases the database groups
   */
  public Configuration(
      Map<String, WorkClass> classes,
      Map<String, Customer> customers,
      Map<String, OpenRoute> openRoutes,
      Map<String, Database> databases) {
    this(classes, customers, openRoutes, databases, Map.of(), DEFAULT_TRANSACTION_IDLE_MILLIS);
  }

  /**
   * Returns the change that turns this configuration into another one.
   *
   * <p>Session routes and the idle limit of transactions are not part of a change.
   *
   * @param target the configuration to reach
   */
  public ConfigurationChange changeTo(Configuration target) {
    return new ConfigurationChange(
        addedOrReplaced(classes, target.classes),
        removed(classes, target.classes),
        addedOrReplaced(customers, target.customers),
        removed(customers, target.customers),
        addedOrReplaced(openRoutes, target.openRoutes),
        removed(openRoutes, target.openRoutes),
        addedOrReplaced(databases, target.databases),
        removed(databases, target.databases));
  }

  /**
   * Returns a copy of this configuration with a change applied.
   *
   * @param change the change to apply
   */
  public Configuration apply(ConfigurationChange change) {
    return new Configuration(
        merge(classes, change.putClasses(), change.removeClasses(), WorkClass::name),
        merge(customers, change.putCustomers(), change.removeCustomers(), Customer::name),
        merge(openRoutes, change.putOpenRoutes(), change.removeOpenRoutes(), OpenRoute::name),
        merge(databases, change.putDatabases(), change.removeDatabases(), Database::name),
        sessionRoutes,
        transactionIdleMillis);
  }

  /**
   * Returns the rate limit of a customer or an open route.
   *
   * @param identity the name of a customer or the identity of an open route
   * @return the limit, or empty if no customer or open route has this identity
   */
  public Optional<RateLimit> rateLimit(String identity) {
    Optional<String> routeName = OpenRoute.routeName(identity);
    if (routeName.isPresent()) {
      return Optional.ofNullable(openRoutes.get(routeName.get()))
          .map(open -> new RateLimit(open.ratePerSecond(), open.burst()));
    }
    return Optional.ofNullable(customers.get(identity))
        .map(customer -> new RateLimit(customer.ratePerSecond(), customer.burst()));
  }

  /**
   * Returns a message for each reference to an undeclared name and each other inconsistency.
   *
   * @return the messages, or an empty list if this configuration is valid
   */
  public List<String> validationErrors() {
    List<String> errors = new ArrayList<>();
    for (Customer customer : customers.values()) {
      for (String database : customer.databases()) {
        if (!databases.containsKey(database)) {
          errors.add("customer %s uses unknown database %s".formatted(customer.name(), database));
        }
      }
    }
    for (OpenRoute route : openRoutes.values()) {
      errors.addAll(validationErrors(route));
    }
    for (SessionRoute route : sessionRoutes.values()) {
      if (!databases.containsKey(route.database())) {
        errors.add(
            "session route %s uses unknown database %s".formatted(route.name(), route.database()));
      }
    }
    return errors;
  }

  private List<String> validationErrors(OpenRoute route) {
    List<String> errors = new ArrayList<>();
    if (!databases.containsKey(route.database())) {
      errors.add(
          "open-route %s uses unknown database %s".formatted(route.name(), route.database()));
    }
    WorkClass workClass = classes.get(route.workClass());
    if (workClass == null) {
      errors.add("open-route %s uses unknown class %s".formatted(route.name(), route.workClass()));
    } else if (!workClass.readOnly()) {
      errors.add(
          "open-route %s uses class %s, which is not read-only"
              .formatted(route.name(), route.workClass()));
    }
    return errors;
  }

  private static <T> List<T> addedOrReplaced(Map<String, T> from, Map<String, T> to) {
    List<T> items = new ArrayList<>();
    for (Map.Entry<String, T> entry : to.entrySet()) {
      if (!Objects.equals(from.get(entry.getKey()), entry.getValue())) {
        items.add(entry.getValue());
      }
    }
    return items;
  }

  private static <T> List<String> removed(Map<String, T> from, Map<String, T> to) {
    return from.keySet().stream().filter(name -> !to.containsKey(name)).sorted().toList();
  }

  private static <T> Map<String, T> merge(
      Map<String, T> base, List<T> put, List<String> remove, Function<T, String> name) {
    if (put.isEmpty() && remove.isEmpty()) {
      return base;
    }
    Map<String, T> merged = new HashMap<>(base);
    remove.forEach(merged::remove);
    for (T item : put) {
      merged.put(name.apply(item), item);
    }
    return merged;
  }
}
