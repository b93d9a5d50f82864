/**
 * The interface between the daemon and a platform that uses its own protocols.
 *
 * <p>An adapter translates names, formats and calls. All decisions are made in the daemon.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.adapter;

import org.jspecify.annotations.NullMarked;
