/**
 * The persistent state of a voter: the hard state, the log and the snapshot in its data folder.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.storage;

import org.jspecify.annotations.NullMarked;
