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
 * Chooses VMs by rendezvous hashing. Every VM computes the same choice, and a change of the members
 * affects as few keys as possible.
 */
public final class Placement {

  private Placement() {}

  private record ScoredVm(VmRecord vm, long score) {}

  /**
   * Returns the VMs with the highest scores for a key, spread over as many failure domains as
   * possible.
   *
   * @param key the key
   * @param vms the VMs to choose from
   * @param count the number of VMs to choose
   * @return the names of the chosen VMs; fewer than {@code count} if there are not enough VMs
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
    int maxPerDomain = domains == 0 ? 0 : (count + domains - 1) / domains;
    Map<String, Integer> chosenPerDomain = new HashMap<>();
    for (ScoredVm scored : ranked) {
      boolean domainHasRoom =
          chosenPerDomain.getOrDefault(scored.vm().failureDomain(), 0) < maxPerDomain;
      if (names.size() < count && domainHasRoom && chosen.add(scored.vm().name())) {
        chosenPerDomain.merge(scored.vm().failureDomain(), 1, Integer::sum);
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
   * Returns the score of a candidate for a key. {@link #choose} compares scores as unsigned numbers
   * and prefers the highest.
   *
   * @param key the key
   * @param candidate the name of the candidate
   */
  public static long score(String key, String candidate) {
    return MurmurHash3.hash128x64((candidate + '\n' + key).getBytes(UTF_8))[0];
  }
}
