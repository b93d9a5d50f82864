package org.cowslipdale.core.view;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Everything that operators declare, keyed by name.
 *
 * @param classes the classes of work
 * @param customers the customers
 * @param openRoutes the routes open to all
 * @param databases the database groups
 * @param sessionRoutes what callers' sessions may open
 * @param transactionIdleMillis how long a transaction of a session may stay idle, in milliseconds
 */
public record Configuration(
    Map<String, WorkClass> classes,
    Map<String, Customer> customers,
    Map<String, OpenRoute> openRoutes,
    Map<String, Database> databases,
    Map<String, SessionRoute> sessionRoutes,
    long transactionIdleMillis) {

  /** How long a transaction may stay idle if nothing else is declared, in milliseconds. */
  public static final long DEFAULT_TRANSACTION_IDLE_MILLIS = 30_000;

  /** A configuration that declares nothing. */
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
   * Creates a configuration without session routes.
   *
   * @param classes the classes of work
   * @param customers the customers
   * @param openRoutes the routes open to all
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
   * @param target the configuration wanted
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
   * Returns this configuration after a change.
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
   * Returns the rate and burst of a customer or an open route.
   *
   * @param identity the name of a customer or the identity of an open route
   * @return the limits, or empty if there is none of this name
   */
  public Optional<RateLimit> rateLimit(String identity) {
    Optional<String> route = OpenRoute.routeName(identity);
    if (route.isPresent()) {
      return Optional.ofNullable(openRoutes.get(route.get()))
          .map(open -> new RateLimit(open.ratePerSecond(), open.burst()));
    }
    return Optional.ofNullable(customers.get(identity))
        .map(customer -> new RateLimit(customer.ratePerSecond(), customer.burst()));
  }

  /** Returns the references to undeclared names and other contradictions; empty if valid. */
  public List<String> validationErrors() {
    List<String> problems = new ArrayList<>();
    for (Customer customer : customers.values()) {
      for (String database : customer.databases()) {
        if (!databases.containsKey(database)) {
          problems.add("customer %s uses unknown database %s".formatted(customer.name(), database));
        }
      }
    }
    for (OpenRoute route : openRoutes.values()) {
      problems.addAll(validationErrors(route));
    }
    for (SessionRoute route : sessionRoutes.values()) {
      if (!databases.containsKey(route.database())) {
        problems.add(
            "session route %s uses unknown database %s".formatted(route.name(), route.database()));
      }
    }
    return problems;
  }

  private List<String> validationErrors(OpenRoute route) {
    List<String> problems = new ArrayList<>();
    if (!databases.containsKey(route.database())) {
      problems.add(
          "open-route %s uses unknown database %s".formatted(route.name(), route.database()));
    }
    WorkClass workClass = classes.get(route.workClass());
    if (workClass == null) {
      problems.add(
          "open-route %s uses unknown class %s".formatted(route.name(), route.workClass()));
    } else if (!workClass.readOnly()) {
      problems.add(
          "open-route %s uses class %s, which is not read-only"
              .formatted(route.name(), route.workClass()));
    }
    return problems;
  }

  private static <T> List<T> addedOrReplaced(Map<String, T> from, Map<String, T> to) {
    List<T> added = new ArrayList<>();
    for (Map.Entry<String, T> entry : to.entrySet()) {
      if (!Objects.equals(from.get(entry.getKey()), entry.getValue())) {
        added.add(entry.getValue());
      }
    }
    return added;
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
