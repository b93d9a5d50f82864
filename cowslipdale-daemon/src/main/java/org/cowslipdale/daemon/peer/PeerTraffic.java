package org.cowslipdale.daemon.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Counts the bytes sent to other VMs by the kind of message. This class is thread-safe. */
public final class PeerTraffic {

  static final String HEARTBEAT = "Heartbeat";

  private final MeterRegistry meters;
  private final Map<String, Counter> bytesByKind = new ConcurrentHashMap<>();

  /**
   * Creates the counters.
   *
   * @param meters receives a counter for each kind of message that is sent
   */
  public PeerTraffic(MeterRegistry meters) {
    this.meters = meters;
  }

  void recordSent(PeerMessage message, int bytes) {
    recordSent(message.getClass().getSimpleName(), bytes);
  }

  void recordSent(String kind, int bytes) {
    bytesByKind.computeIfAbsent(kind, this::createCounter).increment(bytes);
  }

  private Counter createCounter(String kind) {
    return Counter.builder("cowslipdale.peer.sent.bytes")
        .description("Bytes sent to other VMs since the start, by kind of message")
        .tag("message", kind)
        .register(meters);
  }
}
