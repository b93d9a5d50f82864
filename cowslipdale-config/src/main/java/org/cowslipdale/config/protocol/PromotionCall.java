package org.cowslipdale.config.protocol;

import org.jspecify.annotations.Nullable;

/**
 * Orders a backend server into a term.
 *
 * @param term the new term
 * @param primary the address of the primary to follow, or null if this server becomes the primary
 */
public record PromotionCall(long term, @Nullable String primary) {}
