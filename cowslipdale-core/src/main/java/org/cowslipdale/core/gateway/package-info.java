/**
 * Messages between a VM and the gateway that holds a connection to a backend server for it.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.gateway;

import org.jspecify.annotations.NullMarked;
