package org.cowslipdale.core.consensus;

import java.util.ArrayList;
import java.util.List;

/** The control log in memory: a snapshot and the entries after it; confined to one thread. */
final class ControlLog {

  private final List<LogEntry> entries = new ArrayList<>();
  private Snapshot snapshot;

  ControlLog(Snapshot snapshot, List<LogEntry> entries) {
    this.snapshot = snapshot;
    this.entries.addAll(entries);
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long lastIndex() {
    return snapshot.index() + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? snapshot.term() : entries.getLast().term();
  }

  /** Returns whether the entry at an index can be read, or is the last one of the snapshot. */
  boolean hasTermAt(long index) {
    return index >= snapshot.index() && index <= lastIndex();
  }

  long termAt(long index) {
    return index == snapshot.index() ? snapshot.term() : entryAt(index).term();
  }

  LogEntry entryAt(long index) {
    return entries.get((int) (index - snapshot.index() - 1));
  }

  List<LogEntry> range(long from, long to) {
    long base = snapshot.index() + 1;
    return List.copyOf(entries.subList((int) (from - base), (int) (to - base + 1)));
  }

  void append(LogEntry entry) {
    entries.add(entry);
  }

  void truncateAfter(long index) {
    entries.subList((int) (index - snapshot.index()), entries.size()).clear();
  }

  /** Replaces everything by a snapshot. */
  void reset(Snapshot replacement) {
    entries.clear();
    snapshot = replacement;
  }

  /** Drops the entries that a snapshot covers. */
  void compact(Snapshot replacement) {
    entries.subList(0, (int) (replacement.index() - snapshot.index())).clear();
    snapshot = replacement;
  }

  /** Returns the latest voters, committed or not. */
  VoterSet voters() {
    for (LogEntry entry : entries.reversed()) {
      if (entry.payload() instanceof LogEntry.Voters change) {
        return change.voters();
      }
    }
    return snapshot.voters();
  }

  /** Returns the index of the latest change of the voters, or 0. */
  long lastVoterChangeIndex() {
    for (LogEntry entry : entries.reversed()) {
      if (entry.payload() instanceof LogEntry.Voters) {
        return entry.index();
      }
    }
    return 0;
  }

  /** Returns the voters as of an index. */
  VoterSet votersAt(long index) {
    VoterSet voters = snapshot.voters();
    for (LogEntry entry : entries) {
      if (entry.index() <= index && entry.payload() instanceof LogEntry.Voters change) {
        voters = change.voters();
      }
    }
    return voters;
  }
}
