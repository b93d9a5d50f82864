package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

/**
 * A voter together with the identity of its data folder.
 *
 * <p>A VM whose data folder was lost comes back with another identity, so that it cannot vote twice
 * in a term or deny what it had confirmed.
 *
 * @param name the VM name
 * @param identity the identity written when the data folder was created
 */
public record VoterId(String name, String identity) {

  /** Asserts that every component is set. */
  public VoterId {
    requireNonNull(name, "name");
    requireNonNull(identity, "identity");
  }
}
