package org.cowslipdale.core.view;

import java.util.List;

/**
 * The difference between two configurations.
 *
 * @param putClasses work classes that are added or replaced
 * @param removeClasses names of work classes that are removed
 * @param putCustomers customers that are added or replaced
 * @param removeCustomers names of customers that are removed
 * @param putOpenRoutes open routes that are added or replaced
 * @param removeOpenRoutes names of open routes that are removed
 * @param putDatabases databases that are added or replaced
 * @param removeDatabases names of databases that are removed
 */
public record ConfigurationChange(
    List<WorkClass> putClasses,
    List<String> removeClasses,
    List<Customer> putCustomers,
    List<String> removeCustomers,
    List<OpenRoute> putOpenRoutes,
    List<String> removeOpenRoutes,
    List<Database> putDatabases,
    List<String> removeDatabases) {

  /** Copies the lists. */
  public ConfigurationChange {
    putClasses = List.copyOf(putClasses);
    removeClasses = List.copyOf(removeClasses);
    putCustomers = List.copyOf(putCustomers);
    removeCustomers = List.copyOf(removeCustomers);
    putOpenRoutes = List.copyOf(putOpenRoutes);
    removeOpenRoutes = List.copyOf(removeOpenRoutes);
    putDatabases = List.copyOf(putDatabases);
    removeDatabases = List.copyOf(removeDatabases);
  }

  /** Returns the number of items that are added, replaced or removed. */
  int itemCount() {
    return putClasses.size()
        + removeClasses.size()
        + putCustomers.size()
        + removeCustomers.size()
        + putOpenRoutes.size()
        + removeOpenRoutes.size()
        + putDatabases.size()
        + removeDatabases.size();
  }
}
