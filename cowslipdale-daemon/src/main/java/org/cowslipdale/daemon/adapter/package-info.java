/**
 * What connects the daemon with a platform that speaks protocols of its own.
 *
 * <p>An adapter translates names, formats and calls; every decision stays in the daemon.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.adapter;

import org.jspecify.annotations.NullMarked;
