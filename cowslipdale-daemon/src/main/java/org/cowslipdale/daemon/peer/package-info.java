/**
 * Connections and messages between VMs.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.peer;

import org.jspecify.annotations.NullMarked;
