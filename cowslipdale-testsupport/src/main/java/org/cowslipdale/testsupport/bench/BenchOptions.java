package org.cowslipdale.testsupport.bench;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Command-line options of the benchmarks. */
final class BenchOptions {

  @Parameter(description = "latency | throughput | control | failover")
  List<String> benchmarks = new ArrayList<>();

  @Parameter(names = "--rounds", description = "Number of failovers")
  int rounds = 5;

  @Parameter(names = "--rates", description = "Request rates to measure, per second")
  List<Integer> rates = List.of(2_000, 5_000, 10_000, 15_000);

  @Parameter(names = "--seconds", description = "Duration of each measurement in seconds")
  int seconds = 8;

  @Parameter(names = "--help", help = true, description = "Print this help and exit")
  boolean help;
}
