package org.cowslipdale.daemon.version;

import java.lang.foreign.Arena;
import java.lang.foreign.FunctionDescriptor;
import java.lang.foreign.Linker;
import java.lang.foreign.MemorySegment;
import java.lang.foreign.ValueLayout;
import java.lang.invoke.MethodHandle;
import java.lang.management.ManagementFactory;
import java.time.Clock;
import java.util.concurrent.TimeUnit;

/**
 * Reads the clocks of the VM; the decision core only gets the times that are read here.
 *
 * <p>The monotonic clock is the one that goes on while the VM is suspended, so that a lease cannot
 * outlive a suspension.
 */
public final class VmClock {

  /** The number of {@code CLOCK_BOOTTIME} in Linux. */
  private static final int CLOCK_BOOTTIME = 7;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Clock wallClock = Clock.systemUTC();
  private final MemorySegment timespec = Arena.global().allocate(ValueLayout.JAVA_LONG, 2);
  private final MethodHandle clockGettime = lookupClockGettime();

  /** Returns the time on the monotonic clock, in milliseconds. */
  public long millis() {
    return readBootTimeMillis();
  }

  /**
   * Returns a time on the monotonic clock at which this process already ran, as early as can be
   * told, in milliseconds.
   */
  public long processStartMillis() {
    return millis() - ManagementFactory.getRuntimeMXBean().getUptime();
  }

  /** Returns the time on the wall clock, in milliseconds since the epoch. */
  public long wallMillis() {
    return wallClock.millis();
  }

  private synchronized long readBootTimeMillis() {
    try {
      int failed = (int) clockGettime.invokeExact(CLOCK_BOOTTIME, timespec);
      if (failed != 0) {
        throw new IllegalStateException("clock_gettime returned " + failed);
      }
    } catch (RuntimeException | Error e) {
      throw e;
    } catch (Throwable e) {
      throw new IllegalStateException("clock_gettime cannot be called", e);
    }
    return TimeUnit.SECONDS.toMillis(timespec.getAtIndex(ValueLayout.JAVA_LONG, 0))
        + timespec.getAtIndex(ValueLayout.JAVA_LONG, 1) / NANOS_PER_MILLI;
  }

  @SuppressWarnings("restricted")
  private static MethodHandle lookupClockGettime() {
    Linker linker = Linker.nativeLinker();
    MemorySegment symbol = linker.defaultLookup().findOrThrow("clock_gettime");
    return linker.downcallHandle(
        symbol,
        FunctionDescriptor.of(ValueLayout.JAVA_INT, ValueLayout.JAVA_INT, ValueLayout.ADDRESS));
  }
}
