/**
 * JSON and MessagePack codecs for the records of the core.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.codec;

import org.jspecify.annotations.NullMarked;
