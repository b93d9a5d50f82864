package org.cowslipdale.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.cowslipdale.config.codec.Codecs;

/**
 * One line of a decision log.
 *
 * @param at when the line was written, by the wall clock of its VM
 * @param source the name of the file from which the line was read
 * @param event the name of the event
 * @param fields the fields of the event, in the order in which they were written
 */
record DecisionLine(Instant at, String source, String event, Map<String, String> fields) {

  private static final ObjectMapper JSON = Codecs.json();
  private static final String DECISION_LOGGER = "decision";

  /**
   * Parses a line of a log with {@code log-format = json}. Text before the first brace is ignored,
   * because log collectors add prefixes.
   *
   * @param source the name of the file from which the line was read
   * @param text the line
   * @return the parsed line, or empty if it does not belong to the decision log
   */
  static Optional<DecisionLine> parse(String source, String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode json = JSON.readTree(text.substring(brace));
      boolean decision =
          json.path("loggerName").asText().equals(DECISION_LOGGER)
              && json.path("timestamp").isNumber();
      return decision ? Optional.of(fromJson(source, json)) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }

  private static DecisionLine fromJson(String source, JsonNode json) {
    Map<String, String> fields = new LinkedHashMap<>();
    json.path("kvpList")
        .forEach(
            pair -> pair.properties().forEach(f -> fields.put(f.getKey(), f.getValue().asText())));
    Instant at = Instant.ofEpochMilli(json.path("timestamp").asLong());
    return new DecisionLine(at, source, json.path("message").asText(), fields);
  }

  /** Returns whether the line is about a request. */
  boolean isForRequest(String requestId) {
    return requestId.equals(fields.get("request"));
  }

  /**
   * Returns whether the line may be relevant to a request of a customer to a database: it is not
   * about a request or a route, and names no other customer or database.
   *
   * @param customer the customer, or an empty string if it is not known
   * @param database the database, or an empty string if it is not known
   */
  boolean isContextOf(String customer, String database) {
    return !fields.containsKey("request")
        && !fields.containsKey("route")
        && fields.getOrDefault("customer", customer).equals(customer)
        && fields.getOrDefault("database", database).equals(database);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder(at + "  " + source + "  " + event);
    fields.forEach((name, value) -> text.append(' ').append(name).append('=').append(value));
    return text.toString();
  }
}
