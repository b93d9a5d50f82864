/**
 * A caller of the proxy and an operator, for demonstrations and tests.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.testsupport.caller;

import org.jspecify.annotations.NullMarked;
