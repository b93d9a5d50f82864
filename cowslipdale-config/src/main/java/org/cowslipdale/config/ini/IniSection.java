package org.cowslipdale.config.ini;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A section of an INI file.
 *
 * @param title the text between the brackets
 * @param line the line number of the title, starting at 1
 * @param values the values by key, in file order
 */
public record IniSection(String title, int line, Map<String, IniValue> values) {

  /** Copies the values and retains their order. */
  public IniSection {
    values = new LinkedHashMap<>(values);
  }

  /**
   * Returns the first word of the title, which is the kind of object that the section describes.
   */
  public String kind() {
    return title.split("\\s+", 2)[0];
  }

  /** Returns the rest of the title, which is the name of that object, or an empty string. */
  public String label() {
    String[] words = title.split("\\s+", 2);
    return words.length == 2 ? words[1].strip() : "";
  }
}
