package org.cowslipdale.config.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * The JSON body of a caller's statement.
 *
 * @param statement the statement text, which is forwarded unchanged
 * @param parameters the parameters of the statement, if any
 */
public record StatementBody(@Nullable String statement, @Nullable JsonNode parameters) {}
