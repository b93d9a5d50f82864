package org.cowslipdale.core.failover;

import java.util.List;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.view.View;

/** Chooses the VMs that probe the primary of a database. */
public final class ProbeAssignment {

  /**
   * The number of VMs that probe a primary. A fixed number keeps the cost per VM constant as the
   * fleet grows.
   */
  public static final int PROBER_COUNT = 5;

  private ProbeAssignment() {}

  /**
   * Returns the VMs that probe the primary of a database.
   *
   * @param view the current view
   * @param database the database
   * @return the names of the VMs
   */
  public static List<String> probers(View view, String database) {
    return Placement.choose("probe " + database, view.activeVms(), PROBER_COUNT);
  }
}
