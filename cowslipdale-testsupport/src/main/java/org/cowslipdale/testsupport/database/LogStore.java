package org.cowslipdale.testsupport.database;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.testsupport.database.LogPage.Start;
import org.jspecify.annotations.Nullable;

/**
 * The log and the data of a stand-in server; confined to one thread.
 *
 * <p>With a file, the log survives a killed process. The file has one JSON object a line: records
 * and starts of terms.
 */
final class LogStore implements AutoCloseable {

  private static final ObjectMapper JSON = Codecs.json();

  private final @Nullable Path file;
  private final List<LogRecord> records = new ArrayList<>();
  private final List<Start> starts = new ArrayList<>();
  private final NavigableMap<String, String> data = new TreeMap<>();
  private @Nullable BufferedWriter writer;

  private record Line(@Nullable LogRecord record, @Nullable Start start) {}

  LogStore(@Nullable Path file) throws IOException {
    this.file = file;
    if (file != null && Files.exists(file)) {
      for (String text : Files.readAllLines(file, UTF_8)) {
        load(JSON.readValue(text, Line.class));
      }
    }
    if (file != null) {
      writer = open(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
  }

  long offset() {
    return records.size();
  }

  /** Returns the term of the history that this log holds. */
  long term() {
    return starts.isEmpty() ? 0 : starts.getLast().term();
  }

  List<Start> starts() {
    return List.copyOf(starts);
  }

  @Nullable String get(String key) {
    return data.get(key);
  }

  Map<String, String> range(String prefix) {
    return data.subMap(prefix, prefix + Character.MAX_VALUE);
  }

  List<LogRecord> recordsFrom(long offset, int limit) {
    int from = (int) Math.min(offset, records.size());
    return List.copyOf(records.subList(from, Math.min(records.size(), from + limit)));
  }

  void append(LogRecord record) throws IOException {
    apply(record);
    write(new Line(record, null));
  }

  void startTerm(Start start) throws IOException {
    starts.add(start);
    write(new Line(null, start));
  }

  /** Removes what a primary with the given history does not have. */
  void reconcileWith(List<Start> history) throws IOException {
    long keep = records.size();
    for (Start start : history) {
      if (start.term() > term()) {
        keep = Math.min(keep, start.offset());
      }
    }
    boolean changed = keep < records.size() || !starts.equals(history);
    if (!changed) {
      return;
    }
    List<LogRecord> kept = List.copyOf(records.subList(0, (int) keep));
    records.clear();
    data.clear();
    starts.clear();
    starts.addAll(history);
    kept.forEach(this::apply);
    rewrite();
  }

  @Override
  public void close() throws IOException {
    if (writer != null) {
      writer.close();
    }
  }

  private void load(Line line) {
    if (line.record() != null) {
      apply(line.record());
    }
    if (line.start() != null) {
      starts.add(line.start());
    }
  }

  private void apply(LogRecord record) {
    records.add(record);
    for (LogRecord.Write write : record.writes()) {
      data.put(write.key(), write.value());
    }
  }

  private void write(Line line) throws IOException {
    if (writer != null) {
      writer.write(JSON.writeValueAsString(line));
      writer.newLine();
      writer.flush();
    }
  }

  private void rewrite() throws IOException {
    if (file == null) {
      return;
    }
    close();
    writer = open(file, StandardOpenOption.TRUNCATE_EXISTING);
    for (LogRecord record : records) {
      write(new Line(record, null));
    }
    for (Start start : starts) {
      write(new Line(null, start));
    }
  }

  private static BufferedWriter open(Path file, StandardOpenOption... options) throws IOException {
    return Files.newBufferedWriter(file, UTF_8, options);
  }
}
