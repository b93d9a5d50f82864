package org.cowslipdale.testsupport.capacity;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/** Measures processor time and heap of a piece of work in this process. */
final class Measure {

  private static final int HEAP_TRIES = 5;
  private static final long WARM_UP_NANOS = 200_000_000L;
  private static final long RUN_NANOS = 300_000_000L;

  /** Keeps results alive, so that the work is not optimized away. */
  private static final AtomicReference<Object> SINK = new AtomicReference<>("");

  private Measure() {}

  /** Returns the mean duration of a piece of work, in microseconds. */
  static double micros(Supplier<?> work) {
    repeat(work, WARM_UP_NANOS);
    return repeat(work, RUN_NANOS);
  }

  /** Returns the heap that a new state keeps, in bytes: the median of several tries. */
  static double heapBytes(Supplier<?> build) {
    double[] tries = new double[HEAP_TRIES];
    for (int i = 0; i < HEAP_TRIES; i++) {
      SINK.set("");
      long before = usedHeap();
      SINK.set(build.get());
      tries[i] = usedHeap() - before;
    }
    SINK.set("");
    Arrays.sort(tries);
    return tries[HEAP_TRIES / 2];
  }

  private static double repeat(Supplier<?> work, long nanos) {
    long started = System.nanoTime();
    long runs = 0;
    while (System.nanoTime() - started < nanos) {
      SINK.set(work.get());
      runs++;
    }
    return (System.nanoTime() - started) / 1_000.0 / runs;
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
