package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

/**
 * Identifies a voter by its VM name and the identity of its data folder.
 *
 * <p>A VM that lost its data folder gets a new identity. Otherwise it could vote twice in a term,
 * or lose entries that it had acknowledged.
 *
 * @param name the VM name
 * @param identity the identity that was assigned when the data folder was created
 */
public record VoterId(String name, String identity) {

  /** Checks that no component is {@code null}. */
  public VoterId {
    requireNonNull(name, "name");
    requireNonNull(identity, "identity");
  }
}
