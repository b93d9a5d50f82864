package org.cowslipdale.testsupport.database;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.testsupport.database.LogRecord.Write;
import org.jspecify.annotations.Nullable;

/**
 * Runs the statements of the stand-in's small language.
 *
 * <p>{@code put KEY VALUE}, {@code add KEY NUMBER}, {@code append KEY TEXT}, {@code get KEY} and
 * {@code list PREFIX}.
 */
final class StatementEngine {

  private static final ObjectMapper JSON = Codecs.json();

  private final LogStore store;

  StatementEngine(LogStore store) {
    this.store = store;
  }

  /** A statement that cannot run. */
  static final class StatementException extends Exception {

    StatementException(String message) {
      super(message);
    }
  }

  /**
   * The effect of a statement.
   *
   * @param result what the caller gets
   * @param writes the changes to log; empty for reads
   */
  record Effect(JsonNode result, List<Write> writes) {}

  /** Runs a statement against the store with the pending writes of a transaction laid over it. */
  Effect run(String statement, List<Write> pending) throws StatementException {
    String[] words = statement.strip().split("\\s+", 3);
    return switch (words[0]) {
      case "put" -> writeEffect(requireWord(words, 1), requireWord(words, 2));
      case "add" -> writeEffect(requireWord(words, 1), sum(words, pending));
      case "append" -> writeEffect(requireWord(words, 1), appendedValue(words, pending));
      case "get" -> new Effect(JSON.valueToTree(currentValue(requireWord(words, 1), pending)), List.of());
      case "list" -> new Effect(JSON.valueToTree(range(requireWord(words, 1), pending)), List.of());
      default -> throw new StatementException("unknown statement: " + words[0]);
    };
  }

  static boolean isWriteStatement(String statement) {
    String first = statement.strip().split("\\s+", 2)[0];
    return List.of("put", "add", "append").contains(first);
  }

  private static Effect writeEffect(String key, String value) {
    return new Effect(JSON.valueToTree(value), List.of(new Write(key, value)));
  }

  private String sum(String[] words, List<Write> pending) throws StatementException {
    String before = currentValue(requireWord(words, 1), pending);
    try {
      long base = before == null ? 0 : Long.parseLong(before);
      return Long.toString(base + Long.parseLong(requireWord(words, 2)));
    } catch (NumberFormatException e) {
      throw new StatementException("not a number");
    }
  }

  private String appendedValue(String[] words, List<Write> pending) throws StatementException {
    String before = currentValue(requireWord(words, 1), pending);
    return before == null ? requireWord(words, 2) : before + "," + requireWord(words, 2);
  }

  private @Nullable String currentValue(String key, List<Write> pending) {
    String value = store.get(key);
    for (Write write : pending) {
      if (write.key().equals(key)) {
        value = write.value();
      }
    }
    return value;
  }

  private Map<String, String> range(String prefix, List<Write> pending) {
    Map<String, String> range = new LinkedHashMap<>(store.range(prefix));
    List<Write> matching = new ArrayList<>(pending);
    matching.removeIf(write -> !write.key().startsWith(prefix));
    matching.forEach(write -> range.put(write.key(), write.value()));
    return range;
  }

  private static String requireWord(String[] words, int index) throws StatementException {
    if (words.length <= index) {
      throw new StatementException("too few words in statement");
    }
    return words[index];
  }
}
