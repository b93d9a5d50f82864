package org.cowslipdale.core.failover;

import java.util.List;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.view.View;

/** Chooses the VMs that probe the primary of a database. */
public final class ProbeAssignment {

  /** How many VMs probe a primary; the cost per VM stays the same as the fleet grows. */
  public static final int PROBER_COUNT = 5;

  private ProbeAssignment() {}

  /**
   * Returns the VMs that probe a database.
   *
   * @param view the view
   * @param database the database
   */
  public static List<String> probers(View view, String database) {
    return Placement.choose("probe " + database, view.activeVms(), PROBER_COUNT);
  }
}
