/**
 * Messages of the HTTP interfaces to backend servers, callers and operators.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.config.protocol;

import org.jspecify.annotations.NullMarked;
