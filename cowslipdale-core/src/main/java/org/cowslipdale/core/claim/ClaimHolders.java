package org.cowslipdale.core.claim;

import java.util.ArrayList;
import java.util.List;
import org.cowslipdale.core.placement.Placement;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.VmRecord;

/**
 * Chooses the VMs that hold the claim on a request id.
 *
 * <p>The choice depends on the id and on the VMs that were members when the id was created, not on
 * those of today, so every resend meets the same holders.
 */
public final class ClaimHolders {

  /** How many VMs hold a claim. */
  public static final int HOLDER_COUNT = 3;

  private ClaimHolders() {}

  /**
   * Returns the holders of an id.
   *
   * @param view the view
   * @param customer the customer
   * @param id the request id
   * @return the names of the holders, none if the members at that time are unknown
   */
  public static List<String> of(View view, String customer, RequestId id) {
    List<VmRecord> members = new ArrayList<>();
    for (VmRecord vm : view.vms().values()) {
      boolean member =
          vm.claimsFromMillis() <= id.createdMillis()
              && id.createdMillis() < vm.claimsUntilMillis();
      if (member) {
        members.add(vm);
      }
    }
    return Placement.choose(customer + '\n' + id.text(), members, HOLDER_COUNT);
  }

  /**
   * Returns how many of the holders must grant a claim.
   *
   * @param holders the number of holders
   */
  public static int majority(int holders) {
    return holders / 2 + 1;
  }
}
