/**
 * Announcements of backend servers, the registry of announced servers, and their health and
 * backoff.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.core.backend;

import org.jspecify.annotations.NullMarked;
