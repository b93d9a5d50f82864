/**
 * The command-line tool for operators, which calls the administration interface of any VM.
 *
 * <p>Nothing in this package accepts or returns {@code null} unless it is marked {@code @Nullable}.
 */
@NullMarked
package org.cowslipdale.cli;

import org.jspecify.annotations.NullMarked;
