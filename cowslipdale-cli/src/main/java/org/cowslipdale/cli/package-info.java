/**
 * The command-line tool of operators, which talks to any VM over the administration interface.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.cli;

import org.jspecify.annotations.NullMarked;
