/**
 * The protocol between VMs: messages, their encoding and the connections that carry them.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.peer;

import org.jspecify.annotations.NullMarked;
