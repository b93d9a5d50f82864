/**
 * Clients of the proxy for the demonstration, benchmarks and tests: a caller and an administrator.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.caller;

import org.jspecify.annotations.NullMarked;
