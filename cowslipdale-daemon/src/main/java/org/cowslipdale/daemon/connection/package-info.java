/**
 * Connections to backend servers with their pools, and the interface of the promotion service.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.daemon.connection;

import org.jspecify.annotations.NullMarked;
