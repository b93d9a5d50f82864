package org.cowslipdale.testsupport.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Resource usage of a process, read from {@code /proc}.
 *
 * @param cpuMillis the user and system time used so far, in milliseconds
 * @param residentBytes the resident memory, in bytes
 */
record ProcessStats(long cpuMillis, long residentBytes) {

  /** The kernel reports processor time in ticks of 10 ms (USER_HZ = 100). */
  private static final long TICK_MILLIS = 10;

  private static final long PAGE_BYTES = 4_096;

  /** Reads the usage of the process with an id. */
  static ProcessStats read(long pid) throws IOException {
    Path folder = Path.of("/proc", Long.toString(pid));
    String stat = Files.readString(folder.resolve("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    long ticks = Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
    String[] memory = Files.readString(folder.resolve("statm")).split(" ", -1);
    return new ProcessStats(ticks * TICK_MILLIS, Long.parseLong(memory[1]) * PAGE_BYTES);
  }
}
