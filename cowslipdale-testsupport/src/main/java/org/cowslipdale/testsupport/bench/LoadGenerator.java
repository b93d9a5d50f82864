package org.cowslipdale.testsupport.bench;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Sends requests at a fixed rate, independent of the responses (open loop).
 *
 * <p>Latency is measured from the time at which a request was due, so that it includes requests
 * delayed by a stall of the target (no coordinated omission). The result shows whether the
 * generator itself was behind its schedule.
 */
final class LoadGenerator implements AutoCloseable {

  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final long MAX_LATENESS_NANOS = 50_000_000L;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
  private final HttpClient client;

  /**
   * The result of a run.
   *
   * @param latency the latency of all requests that were answered or failed, in microseconds
   * @param succeeded the number of requests answered with status 200
   * @param failed the number of requests answered with another status or not answered
   * @param onSchedule whether the generator sent each request less than 50 ms late
   */
  record Result(Histogram latency, long succeeded, long failed, boolean onSchedule) {}

  /**
   * Creates a generator.
   *
   * @param connections the maximum number of connections to the target
   */
  LoadGenerator(int connections) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(-1));
  }

  /**
   * Sends requests for some time and waits at most 20 s for the last responses.
   *
   * @param request the target and the headers
   * @param body the body of each request
   * @param rate the number of requests per second
   * @param seconds how long to send
   */
  Result run(RequestOptions request, String body, int rate, int seconds) {
    ConcurrentHistogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
    LongAdder succeeded = new LongAdder();
    LongAdder failed = new LongAdder();
    long total = (long) rate * seconds;
    long intervalNanos = 1_000_000_000L / rate;
    long started = System.nanoTime();
    long maxLateness = 0;
    for (long i = 0; i < total; i++) {
      long due = started + i * intervalNanos;
      sleepUntil(due);
      maxLateness = Math.max(maxLateness, System.nanoTime() - due);
      send(request, body)
          .onComplete(
              response -> {
                recordLatency(latency, due);
                (response.statusCode() == 200 ? succeeded : failed).increment();
              },
              failure -> {
                recordLatency(latency, due);
                failed.increment();
              });
    }
    long deadline = System.nanoTime() + 20_000_000_000L;
    while (succeeded.sum() + failed.sum() < total && System.nanoTime() < deadline) {
      sleepUntil(System.nanoTime() + 5_000_000);
    }
    return new Result(latency, succeeded.sum(), failed.sum(), maxLateness < MAX_LATENESS_NANOS);
  }

  @Override
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private Future<HttpClientResponse> send(RequestOptions options, String body) {
    return client
        .request(options.setMethod(HttpMethod.POST))
        .compose(request -> request.send(Buffer.buffer(body)))
        .compose(response -> response.body().map(ignored -> response));
  }

  private static void recordLatency(ConcurrentHistogram latency, long dueNanos) {
    long micros = (System.nanoTime() - dueNanos) / 1_000;
    latency.recordValue(Math.clamp(micros, 0, MAX_LATENCY_MICROS));
  }

  private static void sleepUntil(long nanos) {
    long left = nanos - System.nanoTime();
    if (left > 200_000) {
      LockSupport.parkNanos(left);
    }
    while (System.nanoTime() < nanos) {
      Thread.onSpinWait();
    }
  }
}
