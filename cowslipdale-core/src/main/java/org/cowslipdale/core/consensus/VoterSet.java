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

  /** The identity of data folders that are created when the fleet is initialized. */
  public static final String INITIAL_IDENTITY = "initial";

  /** The empty set, stored in a replaced data folder until the leader sends a snapshot. */
  public static final VoterSet NONE = new VoterSet(Map.of());

  /** Creates an immutable copy of the identities. */
  public VoterSet {
    identities = Map.copyOf(identities);
  }

  /**
   * Returns the voters of a new fleet, all with {@link #INITIAL_IDENTITY}.
   *
   * @param names the names of the VMs
   */
  public static VoterSet initial(Collection<String> names) {
    Map<String, String> identities = new HashMap<>();
    names.forEach(name -> identities.put(name, INITIAL_IDENTITY));
    return new VoterSet(identities);
  }

  /** Returns the VM names of the voters. */
  public Set<String> names() {
    return identities.keySet();
  }

  /** Returns the size of a majority; any two majorities have a voter in common. */
  public int quorum() {
    return identities.size() / 2 + 1;
  }

  /**
   * Returns whether a VM with this data folder is a voter.
   *
   * @param voter the name and identity to look up
   */
  public boolean contains(VoterId voter) {
    return voter.identity().equals(identities.get(voter.name()));
  }

  /**
   * Returns a copy of this set without a VM.
   *
   * @param name the name of the VM to remove
   */
  public VoterSet without(String name) {
    Map<String, String> next = new HashMap<>(identities);
    next.remove(name);
    return new VoterSet(next);
  }

  /**
   * Returns a copy of this set with a voter, which replaces any identity of the same VM.
   *
   * @param voter the voter to add
   */
  public VoterSet with(VoterId voter) {
    Map<String, String> next = new HashMap<>(identities);
    next.put(voter.name(), voter.identity());
    return new VoterSet(next);
  }
}
