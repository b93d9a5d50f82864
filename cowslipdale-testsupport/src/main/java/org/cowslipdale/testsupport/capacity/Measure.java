package org.cowslipdale.testsupport.capacity;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/** Measures the duration and the retained heap of a task in this process. */
final class Measure {

  private static final int HEAP_SAMPLES = 5;
  private static final long WARM_UP_NANOS = 200_000_000L;
  private static final long MEASUREMENT_NANOS = 300_000_000L;

  /** Holds the newest result, so that the compiler does not eliminate the task. */
  private static final AtomicReference<Object> SINK = new AtomicReference<>("");

  private Measure() {}

  /** Returns the mean duration of a task after a warm-up, in microseconds. */
  static double meanMicros(Supplier<?> task) {
    repeat(task, WARM_UP_NANOS);
    return repeat(task, MEASUREMENT_NANOS);
  }

  /**
   * Returns the heap that a new object retains, in bytes. Garbage collection makes single samples
   * inexact, so this is the median of {@link #HEAP_SAMPLES}.
   */
  static double medianHeapBytes(Supplier<?> build) {
    double[] samples = new double[HEAP_SAMPLES];
    for (int i = 0; i < HEAP_SAMPLES; i++) {
      SINK.set("");
      long before = usedHeapBytes();
      SINK.set(build.get());
      samples[i] = usedHeapBytes() - before;
    }
    SINK.set("");
    Arrays.sort(samples);
    return samples[HEAP_SAMPLES / 2];
  }

  private static double repeat(Supplier<?> task, long nanos) {
    long started = System.nanoTime();
    long count = 0;
    while (System.nanoTime() - started < nanos) {
      SINK.set(task.get());
      count++;
    }
    return (System.nanoTime() - started) / 1_000.0 / count;
  }

  private static long usedHeapBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
