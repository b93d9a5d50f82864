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
 * Sends requests at a fixed rate, whether or not earlier ones were answered.
 *
 * <p>Latency counts from when a request was due, so a stall of the target is not omitted. A run
 * whose own schedule fell behind is reported as such.
 */
final class LoadGenerator implements AutoCloseable {

  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final long MAX_LATENESS_NANOS = 50_000_000L;

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2));
  private final HttpClient client;

  /**
   * What a run showed.
   *
   * @param latency latency of all requests, in microseconds
   * @param ok requests answered with status 200
   * @param failed all others
   * @param keptUp whether the generator sent every request in time
   */
  record Result(Histogram latency, long ok, long failed, boolean keptUp) {}

  LoadGenerator(int connections) {
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions().setTcpNoDelay(true),
            new PoolOptions().setHttp1MaxSize(connections).setMaxWaitQueueSize(-1));
  }

  /** Sends {@code rate} requests a second for a number of seconds. */
  Result run(RequestOptions request, String body, int rate, int seconds) {
    ConcurrentHistogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
    LongAdder ok = new LongAdder();
    LongAdder failed = new LongAdder();
    long total = (long) rate * seconds;
    long interval = 1_000_000_000L / rate;
    long started = System.nanoTime();
    long worstLateness = 0;
    for (long i = 0; i < total; i++) {
      long due = started + i * interval;
      sleepUntil(due);
      worstLateness = Math.max(worstLateness, System.nanoTime() - due);
      send(request, body)
          .onComplete(
              response -> {
                record(latency, due);
                (response.statusCode() == 200 ? ok : failed).increment();
              },
              failure -> {
                record(latency, due);
                failed.increment();
              });
    }
    long limit = System.nanoTime() + 20_000_000_000L;
    while (ok.sum() + failed.sum() < total && System.nanoTime() < limit) {
      sleepUntil(System.nanoTime() + 5_000_000);
    }
    return new Result(latency, ok.sum(), failed.sum(), worstLateness < MAX_LATENESS_NANOS);
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

  private static void record(ConcurrentHistogram latency, long dueNanos) {
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
