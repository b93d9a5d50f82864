package org.cowslipdale.config.ini;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.cowslipdale.core.result.ResultCode;

/** A parsed INI file with the line numbers of its sections and keys. */
public final class IniFile {

  /** The escape sequence of Commons Configuration for a dot within a key. */
  private static final String ESCAPED_DOT = "..";

  private final String name;
  private final List<IniSection> sections;

  private IniFile(String name, List<IniSection> sections) {
    this.name = name;
    this.sections = List.copyOf(sections);
  }

  /**
   * Reads a file.
   *
   * @param path the file to read
   * @throws IniException if the file cannot be read, or its text is not valid
   */
  public static IniFile read(Path path) throws IniException {
    try {
      return parse(path.toString(), Files.readString(path, UTF_8));
    } catch (IOException e) {
      IniProblem problem =
          new IniProblem(ResultCode.FILE_UNREADABLE, path.toString(), 0, "cannot be read: " + e);
      throw new IniException(List.of(problem), e);
    }
  }

  /**
   * Parses the text of a file.
   *
   * @param name the file name to show in errors
   * @param text the text to parse
   * @throws IniException if the text is not an INI file, or has duplicate sections or keys
   */
  public static IniFile parse(String name, String text) throws IniException {
    INIConfiguration ini = new INIConfiguration();
    ini.setSeparatorUsedInInput("=");
    try {
      ini.read(new StringReader(text));
    } catch (ConfigurationException | IOException e) {
      throw new IniException(
          List.of(new IniProblem(ResultCode.FILE_UNREADABLE, name, 0, e.getMessage())));
    }
    LineIndex lines = LineIndex.of(name, text);
    List<IniSection> sections = new ArrayList<>();
    for (String title : lines.titles()) {
      sections.add(new IniSection(title, lines.line(title), values(ini, title, lines)));
    }
    return new IniFile(name, sections);
  }

  /** Returns the file name to show in errors. */
  public String name() {
    return name;
  }

  /** Returns the sections in file order. */
  public List<IniSection> sections() {
    return sections;
  }

  private static Map<String, IniValue> values(INIConfiguration ini, String title, LineIndex lines) {
    SubnodeConfiguration section = ini.getSection(title);
    Map<String, IniValue> values = new LinkedHashMap<>();
    for (Iterator<String> keys = section.getKeys(); keys.hasNext(); ) {
      String key = keys.next();
      String name = key.replace(ESCAPED_DOT, ".");
      values.put(name, new IniValue(section.getString(key), lines.line(title, name)));
    }
    return values;
  }

  /** The line numbers of sections and keys, which Commons Configuration does not provide. */
  private static final class LineIndex {

    private final Map<String, Integer> titles = new LinkedHashMap<>();
    private final Map<String, Integer> keys = new HashMap<>();

    static LineIndex of(String name, String text) throws IniException {
      LineIndex index = new LineIndex();
      List<IniProblem> problems = new ArrayList<>();
      String title = "";
      int number = 0;
      for (String raw : text.lines().toList()) {
        number++;
        String line = raw.strip();
        if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
          continue;
        }
        if (line.startsWith("[") && line.contains("]")) {
          title = line.substring(1, line.indexOf(']')).strip();
          index.addTitle(title, name, number, problems);
        } else {
          index.addKey(title, line, name, number, problems);
        }
      }
      if (!problems.isEmpty()) {
        throw new IniException(problems);
      }
      return index;
    }

    private void addTitle(String title, String name, int number, List<IniProblem> problems) {
      if (titles.putIfAbsent(title, number) != null) {
        String message = "section [%s] occurs twice".formatted(title);
        problems.add(new IniProblem(ResultCode.BAD_VALUE, name, number, message));
      }
    }

    private void addKey(
        String title, String line, String name, int number, List<IniProblem> problems) {
      int separator = line.indexOf('=');
      if (separator < 0 || title.isEmpty()) {
        String message = "expected [section] or, within a section, key = value";
        problems.add(new IniProblem(ResultCode.BAD_VALUE, name, number, message));
        return;
      }
      String key = line.substring(0, separator).strip();
      if (keys.putIfAbsent(title + "\n" + key, number) != null) {
        String message = "key %s occurs twice in section [%s]".formatted(key, title);
        problems.add(new IniProblem(ResultCode.BAD_VALUE, name, number, message));
      }
    }

    Iterable<String> titles() {
      return titles.keySet();
    }

    int line(String title) {
      return titles.getOrDefault(title, 0);
    }

    int line(String title, String key) {
      return keys.getOrDefault(title + "\n" + key, line(title));
    }
  }
}
