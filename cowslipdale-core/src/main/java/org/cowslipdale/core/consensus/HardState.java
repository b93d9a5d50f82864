package org.cowslipdale.core.consensus;

import static java.util.Objects.requireNonNull;

import org.jspecify.annotations.Nullable;

/**
 * The persistent state of a voter besides its log. It must be stored before any message that
 * depends on it is sent.
 *
 * @param identity the identity of the voter's data folder
 * @param term the latest term that the voter has seen
 * @param votedFor the name of the candidate that received the vote in that term, if any
 */
public record HardState(String identity, long term, @Nullable String votedFor) {

  /** Checks that the identity is not {@code null}. */
  public HardState {
    requireNonNull(identity, "identity");
  }
}
