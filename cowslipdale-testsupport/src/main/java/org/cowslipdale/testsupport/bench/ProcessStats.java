package org.cowslipdale.testsupport.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the operating system says of a process.
 *
 * @param cpuMillis processor time used so far, in milliseconds
 * @param residentBytes resident memory, in bytes
 */
record ProcessStats(long cpuMillis, long residentBytes) {

  private static final long TICK_MILLIS = 10;
  private static final long PAGE_BYTES = 4_096;

  static ProcessStats of(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(folder.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    String[] memory = Files.readString(folder.resolve("statm")).split(" ", -1);
    return new ProcessStats(ticks * TICK_MILLIS, Long.parseLong(memory[1]) * PAGE_BYTES);
  }
}
