package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * What a voter must remember besides its log.
 *
 * @param identity the identity of the data folder
 * @param term the highest term seen
 * @param votedFor the candidate voted for in that term, if any
 */
public record HardState(String identity, long term, @Nullable String votedFor) {

  /** Asserts that the identity is set. */
  public HardState {
    requireNonNull(identity, "identity");
  }
}
