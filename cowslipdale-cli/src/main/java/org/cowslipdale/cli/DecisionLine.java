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
 * @param at when it was written, by the wall clock of its VM
 * @param source the file from which it was read
 * @param event the event
 * @param fields the fields of the event, in the order in which they were written
 */
record DecisionLine(Instant at, String source, String event, Map<String, String> fields) {

  private static final ObjectMapper JSON = Codecs.json();
  private static final String DECISION_LOGGER = "decision";

  /**
   * Reads a line of a log with {@code log-format = json}; text before the first brace, as log
   * collectors add it, is left out.
   *
   * @param source the file from which it was read
   * @param text the line
   * @return the line, or empty if it is none of the decision log
   */
  static Optional<DecisionLine> parse(String source, String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode json = JSON.readTree(text.substring(brace));
      boolean decision =
          json.path("loggerName").asText().equals(DECISION_LOGGER) && json.path("timestamp").isNumber();
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

  /** Tells whether the line is about a request. */
  boolean isForRequest(String request) {
    return request.equals(fields.get("request"));
  }

  /**
   * Tells whether the line may have to do with a request of a customer to a database: it tells what
   * the fleet believed, and names no other customer and database.
   *
   * @param customer the customer, or empty if it is not known
   * @param database the database, or empty if it is not known
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
