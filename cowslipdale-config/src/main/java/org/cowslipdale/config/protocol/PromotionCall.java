package org.cowslipdale.config.protocol;

import org.jspecify.annotations.Nullable;

/**
 * Moves a backend server to a new term, as its primary or as a replica.
 *
 * @param term the new term
 * @param primary the address of the primary to follow, or null if this server becomes the primary
 */
public record PromotionCall(long term, @Nullable String primary) {}
