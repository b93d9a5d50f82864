package org.cowslipdale.config.ini;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cowslipdale.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Reads typed values from a section and collects everything that is wrong with it.
 *
 * <p>Every method returns its default after an error, so that one pass finds all errors. Call
 * {@link #reportUnknownKeys()} last: it reports the keys that no method asked for.
 */
public final class SectionReader {

  private static final Pattern DURATION = Pattern.compile("(\\d{1,9})\\s*(ms|s|min|h)");
  private static final Pattern SIZE = Pattern.compile("(\\d{1,9})\\s*(B|KiB|MiB)");
  private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
  private static final int MAX_PORT = 65_535;

  private final String file;
  private final IniSection section;
  private final List<IniProblem> problems;
  private final Set<String> requestedKeys = new TreeSet<>();

  /**
   * Creates a reader.
   *
   * @param file the file name to show in errors
   * @param section the section to read
   * @param problems where errors are added
   */
  public SectionReader(String file, IniSection section, List<IniProblem> problems) {
    this.file = file;
    this.section = section;
    this.problems = problems;
  }

  /**
   * Checks a name such as that of a VM.
   *
   * @param name the name
   * @return whether it has 1 to 63 lower-case letters, digits and dashes
   */
  public static boolean isName(String name) {
    return NAME.matcher(name).matches();
  }

  /**
   * Returns a required text.
   *
   * @param key the key
   */
  public String text(String key) {
    IniValue value = require(key);
    return value == null ? "" : value.text().strip();
  }

  /**
   * Returns an optional text.
   *
   * @param key the key
   * @param fallback the default
   */
  public String text(String key, String fallback) {
    IniValue value = find(key);
    return value == null ? fallback : value.text().strip();
  }

  /**
   * Returns a required secret of at least 16 characters.
   *
   * @param key the key
   */
  public String secret(String key) {
    IniValue value = require(key);
    if (value != null && value.text().strip().length() < 16) {
      addBadValue(key, value, "a secret of at least 16 characters");
    }
    return value == null ? "" : value.text().strip();
  }

  /**
   * Returns a required name.
   *
   * @param key the key
   */
  public String name(String key) {
    IniValue value = require(key);
    if (value != null && !isName(value.text().strip())) {
      addBadValue(key, value, "1 to 63 lower-case letters, digits and dashes");
    }
    return value == null ? "" : value.text().strip();
  }

  /**
   * Returns a required name, which may also be an address.
   *
   * @param key the key
   */
  public String nameOrAddress(String key) {
    String text = text(key);
    return isAddress(text) ? text : name(key);
  }

  /**
   * Returns an optional network address.
   *
   * @param key the key
   */
  public Optional<String> optionalAddress(String key) {
    IniValue value = find(key);
    return value == null || value.text().isBlank() ? Optional.empty() : Optional.of(address(key));
  }

  /**
   * Returns a list of names separated by commas.
   *
   * @param key the key
   */
  public List<String> names(String key) {
    IniValue value = require(key);
    if (value == null) {
      return List.of();
    }
    List<String> names = Arrays.stream(value.text().split(",", -1)).map(String::strip).toList();
    if (!names.stream().allMatch(SectionReader::isName)) {
      addBadValue(key, value, "names separated by commas");
    }
    return names;
  }

  /**
   * Returns one of several words.
   *
   * @param key the key
   * @param fallback the default
   * @param allowed the words allowed
   */
  public String oneOf(String key, String fallback, List<String> allowed) {
    IniValue value = find(key);
    if (value == null) {
      return fallback;
    }
    String text = value.text().strip();
    if (!allowed.contains(text)) {
      addBadValue(key, value, "one of " + String.join(", ", allowed));
      return fallback;
    }
    return text;
  }

  /**
   * Returns yes or no.
   *
   * @param key the key
   * @param fallback the default
   */
  public boolean flag(String key, boolean fallback) {
    return oneOf(key, fallback ? "yes" : "no", List.of("yes", "no")).equals("yes");
  }

  /**
   * Returns a whole number.
   *
   * @param key the key
   * @param fallback the default
   * @param min the smallest value allowed
   * @param max the greatest value allowed
   */
  public long number(String key, long fallback, long min, long max) {
    IniValue value = find(key);
    if (value == null) {
      return fallback;
    }
    try {
      long number = Long.parseLong(value.text().strip());
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // reported below together with numbers out of range
    }
    addBadValue(key, value, "a whole number from %d to %d".formatted(min, max));
    return fallback;
  }

  /**
   * Returns a decimal number.
   *
   * @param key the key
   * @param fallback the default
   * @param min the smallest value allowed
   * @param max the greatest value allowed
   */
  public double decimal(String key, double fallback, double min, double max) {
    IniValue value = find(key);
    if (value == null) {
      return fallback;
    }
    try {
      double number = Double.parseDouble(value.text().strip());
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // reported below together with numbers out of range
    }
    addBadValue(key, value, "a number from %s to %s".formatted(min, max));
    return fallback;
  }

  /**
   * Returns a duration in milliseconds.
   *
   * @param key the key
   * @param fallback the default, in milliseconds
   */
  public long durationMillis(String key, long fallback) {
    IniValue value = find(key);
    if (value == null) {
      return fallback;
    }
    Matcher matcher = DURATION.matcher(value.text().strip());
    if (!matcher.matches() || Long.parseLong(matcher.group(1)) == 0) {
      addBadValue(key, value, "a positive whole number with a unit: ms, s, min or h");
      return fallback;
    }
    long number = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> number;
      case "s" -> number * 1_000;
      case "min" -> number * 60_000;
      default -> number * 3_600_000;
    };
  }

  /**
   * Returns a size in bytes.
   *
   * @param key the key
   * @param fallback the default, in bytes
   */
  public int sizeBytes(String key, int fallback) {
    IniValue value = find(key);
    if (value == null) {
      return fallback;
    }
    Matcher matcher = SIZE.matcher(value.text().strip());
    if (matcher.matches()) {
      long bytes = Long.parseLong(matcher.group(1)) << unitShift(matcher.group(2));
      if (bytes > 0 && bytes <= Integer.MAX_VALUE) {
        return (int) bytes;
      }
    }
    addBadValue(key, value, "a positive whole number with a unit: B, KiB or MiB, below 2 GiB");
    return fallback;
  }

  /**
   * Returns a required network address.
   *
   * @param key the key
   */
  public String address(String key) {
    IniValue value = require(key);
    if (value != null && !isAddress(value.text().strip())) {
      addBadValue(key, value, "an IP number and a port, such as 127.0.0.1:8080");
    }
    return value == null ? "" : value.text().strip();
  }

  /**
   * Checks a network address.
   *
   * @param text the address
   * @return whether it is an IP number and a port
   */
  public static boolean isAddress(String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(3));
    boolean octets =
        Arrays.stream(matcher.group(1).split("\\."))
            .allMatch(part -> Integer.parseInt(part) <= 255);
    return octets && port > 0 && port <= MAX_PORT;
  }

  /**
   * Reports a value as not allowed.
   *
   * @param key the key
   * @param expected what is allowed
   */
  public void reject(String key, String expected) {
    IniValue value = section.values().get(key);
    addBadValue(key, value == null ? new IniValue("", section.line()) : value, expected);
  }

  /** Reports the keys that no method asked for. */
  public void reportUnknownKeys() {
    for (var entry : section.values().entrySet()) {
      if (!requestedKeys.contains(entry.getKey())) {
        String message =
            "unknown key %s in section [%s]; allowed: %s"
                .formatted(entry.getKey(), section.title(), String.join(", ", requestedKeys));
        problems.add(
            new IniProblem(ResultCode.UNKNOWN_KEY, file, entry.getValue().line(), message));
      }
    }
  }

  private static int unitShift(String unit) {
    return switch (unit) {
      case "KiB" -> 10;
      case "MiB" -> 20;
      default -> 0;
    };
  }

  private @Nullable IniValue find(String key) {
    requestedKeys.add(key);
    return section.values().get(key);
  }

  private @Nullable IniValue require(String key) {
    IniValue value = find(key);
    if (value == null || value.text().isBlank()) {
      String message = "section [%s] needs the key %s".formatted(section.title(), key);
      problems.add(new IniProblem(ResultCode.MISSING_KEY, file, section.line(), message));
      return null;
    }
    return value;
  }

  private void addBadValue(String key, IniValue value, String expected) {
    String message =
        "%s = %s is not allowed; expected %s".formatted(key, value.text().strip(), expected);
    problems.add(new IniProblem(ResultCode.BAD_VALUE, file, value.line(), message));
  }
}
