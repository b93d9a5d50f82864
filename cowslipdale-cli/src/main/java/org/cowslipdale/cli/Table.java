package org.cowslipdale.cli;

import java.util.ArrayList;
import java.util.List;

/** Formats rows of text in aligned columns. */
final class Table {

  private final List<List<String>> rows = new ArrayList<>();

  Table(String... header) {
    rows.add(List.of(header));
  }

  void addRow(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(String.valueOf(cell));
    }
    rows.add(row);
  }

  @Override
  public String toString() {
    int columns = rows.getFirst().size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    StringBuilder text = new StringBuilder();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length() + 2));
      }
      text.append(line.toString().stripTrailing()).append('\n');
    }
    return text.toString();
  }
}
