package support;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Fills in a settings template as described in DEPLOY.md: placeholders and sections. */
final class Template {

  private Template() {}

  static String render(String template, Map<String, Object> fields) {
    return render(template, fields, "", fields);
  }

  private static String render(
      String text, Object entry, String key, Map<String, Object> fields) {
    StringBuilder out = new StringBuilder();
    int at = 0;
    while (true) {
      int open = text.indexOf("{{", at);
      if (open < 0) {
        return out.append(text.substring(at)).toString();
      }
      out.append(text, at, open);
      int close = text.indexOf("}}", open);
      String name = text.substring(open + 2, close);
      at = close + 2;
      if (!name.startsWith("#") && !name.startsWith("^")) {
        out.append(value(name, entry, key, fields));
        continue;
      }
      String end = "{{/" + name.substring(1) + "}}";
      int endAt = text.indexOf(end, at);
      String body = text.substring(at, endAt);
      at = endAt + end.length();
      Object section = lookUp(name.substring(1), fields);
      boolean present = section != null && !Boolean.FALSE.equals(section);
      if (name.startsWith("^")) {
        out.append(present ? "" : render(body, entry, key, fields));
      } else if (present && section instanceof Map<?, ?> table) {
        table.forEach((k, v) -> out.append(render(body, v, String.valueOf(k), fields)));
      } else if (present) {
        out.append(render(body, entry, key, fields));
      }
    }
  }

  private static String value(
      String name, Object entry, String key, Map<String, Object> fields) {
    Object value =
        switch (name) {
          case "." -> entry;
          case "@" -> key;
          default -> lookUp(name, fields);
        };
    if (value instanceof Collection<?> list) {
      return String.join(",", list.stream().map(String::valueOf).toList());
    }
    return value == null ? "" : String.valueOf(value);
  }

  private static Object lookUp(String name, Map<String, Object> fields) {
    Object value = fields;
    for (String part : name.split("\\.")) {
      if (value instanceof Map<?, ?> table) {
        value = table.get(part);
      } else if (value instanceof List<?> list) {
        value = list.get(Integer.parseInt(part));
      } else {
        return null;
      }
    }
    return value;
  }
}
