package org.cowslipdale.daemon.version;

import java.time.Clock;
import java.util.concurrent.TimeUnit;

/** Reads the clocks of the VM; the decision core only gets the times that are read here. */
public final class VmClock {

  private final Clock wall = Clock.systemUTC();

  /** Returns the time on the monotonic clock, in milliseconds. */
  public long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns the time on the wall clock, in milliseconds since the epoch. */
  public long wallMillis() {
    return wall.millis();
  }
}
