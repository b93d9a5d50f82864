/**
 * The durable state of a voter: hard state, log and snapshot in one data folder.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.storage;

import org.jspecify.annotations.NullMarked;
