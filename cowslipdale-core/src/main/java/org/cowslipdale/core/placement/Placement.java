package org.cowslipdale.core.placement;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.codec.digest.MurmurHash3;
import org.cowslipdale.core.view.VmRecord;

/**
 * Chooses VMs by rendezvous hashing: every VM computes the same choice, and a change of the members
 * moves only what it must.
 */
public final class Placement {

  private Placement() {}

  private record ScoredVm(VmRecord vm, long score) {}

  /**
   * Returns the best VMs for a key, from as many failure domains as possible.
   *
   * @param key the key
   * @param vms the VMs to choose from
   * @param count how many VMs are wanted
   * @return the names of the VMs; fewer than {@code count} if there are not enough
   */
  public static List<String> choose(String key, Collection<VmRecord> vms, int count) {
    List<ScoredVm> ranked = new ArrayList<>();
    for (VmRecord vm : vms) {
      ranked.add(new ScoredVm(vm, score(key, vm.name())));
    }
    ranked.sort((a, b) -> Long.compareUnsigned(b.score(), a.score()));
    Set<String> chosen = new HashSet<>();
    List<String> names = new ArrayList<>();
    int domains = (int) vms.stream().map(VmRecord::failureDomain).distinct().count();
    int perDomain = domains == 0 ? 0 : (count + domains - 1) / domains;
    Map<String, Integer> used = new HashMap<>();
    for (ScoredVm scored : ranked) {
      boolean room = used.getOrDefault(scored.vm().failureDomain(), 0) < perDomain;
      if (names.size() < count && room && chosen.add(scored.vm().name())) {
        used.merge(scored.vm().failureDomain(), 1, Integer::sum);
        names.add(scored.vm().name());
      }
    }
    for (ScoredVm scored : ranked) {
      if (names.size() < count && chosen.add(scored.vm().name())) {
        names.add(scored.vm().name());
      }
    }
    return names;
  }

  /**
   * Returns the score of a candidate; the highest wins.
   *
   * @param key the key
   * @param vm the name of the candidate
   */
  public static long score(String key, String vm) {
    return MurmurHash3.hash128x64((vm + '\n' + key).getBytes(UTF_8))[0];
  }
}
