package org.cowslipdale.config.ini;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A section of an INI file.
 *
 * @param title the text between the brackets
 * @param line the line number, counted from 1
 * @param values the values, by key, in the order of the file
 */
public record IniSection(String title, int line, Map<String, IniValue> values) {

  /** Copies the values. */
  public IniSection {
    values = new LinkedHashMap<>(values);
  }

  /** Returns the first word of the title, which tells what the section describes. */
  public String kind() {
    return title.split("\\s+", 2)[0];
  }

  /** Returns the rest of the title, which names what the section describes; may be empty. */
  public String label() {
    String[] words = title.split("\\s+", 2);
    return words.length == 2 ? words[1].strip() : "";
  }
}
