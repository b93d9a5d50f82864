/**
 * Guards the VM against clients that hold too much of its memory, its connections or its time.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.client;

import org.jspecify.annotations.NullMarked;
