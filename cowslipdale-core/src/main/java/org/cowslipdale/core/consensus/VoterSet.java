package org.cowslipdale.core.consensus;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The voters of the control log.
 *
 * @param identities the identity of each voter's data folder, by VM name
 */
public record VoterSet(Map<String, String> identities) {

  /** The identity of data folders that were created when the fleet was initialized. */
  public static final String INITIAL_IDENTITY = "initial";

  /** No voters; the state of a replaced data folder until a leader has sent a snapshot. */
  public static final VoterSet NONE = new VoterSet(Map.of());

  /** Copies the identities. */
  public VoterSet {
    identities = Map.copyOf(identities);
  }

  /**
   * Returns the voters of a new fleet.
   *
   * @param names the names of the VMs
   */
  public static VoterSet initial(Collection<String> names) {
    Map<String, String> identities = new HashMap<>();
    names.forEach(name -> identities.put(name, INITIAL_IDENTITY));
    return new VoterSet(identities);
  }

  /** Returns the names of the voters. */
  public Set<String> names() {
    return identities.keySet();
  }

  /** Returns the smallest number of voters that overlaps every other such number. */
  public int quorum() {
    return identities.size() / 2 + 1;
  }

  /**
   * Tells whether a data folder may vote.
   *
   * @param voter the voter
   */
  public boolean contains(VoterId voter) {
    return voter.identity().equals(identities.get(voter.name()));
  }

  /**
   * Returns the set without a VM.
   *
   * @param name the name of the VM
   */
  public VoterSet without(String name) {
    Map<String, String> next = new HashMap<>(identities);
    next.remove(name);
    return new VoterSet(next);
  }

  /**
   * Returns the set with a VM.
   *
   * @param voter the voter to add
   */
  public VoterSet with(VoterId voter) {
    Map<String, String> next = new HashMap<>(identities);
    next.put(voter.name(), voter.identity());
    return new VoterSet(next);
  }
}
