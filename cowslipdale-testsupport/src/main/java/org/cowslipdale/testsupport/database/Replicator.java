package org.cowslipdale.testsupport.database;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.function.Supplier;
import org.cowslipdale.config.codec.Codecs;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Copies the log of the primary into the store of a replica; confined to the server's thread. */
final class Replicator {

  private static final Logger LOG = LoggerFactory.getLogger(Replicator.class);
  private static final ObjectMapper JSON = Codecs.json();
  private static final long IDLE_POLL_MILLIS = 5;
  private static final long RETRY_MILLIS = 50;
  private static final long TIMEOUT_MILLIS = 1_000;

  private final Vertx vertx;
  private final HttpClient client;
  private final LogStore store;
  private final Supplier<Faults> faults;
  private @Nullable String primary;
  private long currentAsOfMillis = Long.MIN_VALUE;
  private int generation;

  Replicator(Vertx vertx, LogStore store, Supplier<Faults> faults) {
    this.vertx = vertx;
    this.client = vertx.createHttpClient();
    this.store = store;
    this.faults = faults;
  }

  /**
   * Starts replicating from a primary, or stops replicating.
   *
   * @param address the address of the primary, or {@code null} to stop
   */
  void follow(@Nullable String address) {
    primary = address;
    generation++;
    currentAsOfMillis = Long.MIN_VALUE;
    if (address != null) {
      fetch(generation);
    }
  }

  /**
   * Returns the maximum age of the data of the replica, in milliseconds.
   *
   * <p>The age is practically unbounded until the replica has caught up with the current primary.
   *
   * @param now the current time on the monotonic clock, in milliseconds
   */
  long ageMillis(long now) {
    if (currentAsOfMillis == Long.MIN_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    return now - currentAsOfMillis;
  }

  private void fetch(int expectedGeneration) {
    if (expectedGeneration != generation) {
      return;
    }
    if (faults.get().stopReplication()) {
      scheduleFetch(expectedGeneration, RETRY_MILLIS);
      return;
    }
    long sentAt = StandInServer.monotonicMillis();
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setAbsoluteURI(
                "http://%s/log?term=%d&from=%d".formatted(primary, store.term(), store.offset()))
            .setTimeout(TIMEOUT_MILLIS);
    client
        .request(options)
        .compose(request -> request.send())
        .compose(HttpClientResponse::body)
        .onSuccess(body -> handlePage(expectedGeneration, sentAt, body))
        .onFailure(e -> scheduleFetch(expectedGeneration, RETRY_MILLIS));
  }

  private void handlePage(int expectedGeneration, long sentAt, Buffer body) {
    long lag = faults.get().lagMillis();
    if (lag == 0) {
      apply(expectedGeneration, sentAt, body);
    } else {
      vertx.setTimer(lag, id -> apply(expectedGeneration, sentAt, body));
    }
  }

  private void apply(int expectedGeneration, long sentAt, Buffer body) {
    if (expectedGeneration != generation) {
      return;
    }
    try {
      LogPage page = JSON.readValue(body.getBytes(), LogPage.class);
      store.reconcileWith(page.starts());
      if (page.from() == store.offset()) {
        for (LogRecord record : page.records()) {
          store.append(record);
        }
        if (page.records().size() < StandInServer.PAGE_RECORDS) {
          currentAsOfMillis = sentAt;
        }
      }
      scheduleFetch(expectedGeneration, page.records().isEmpty() ? IDLE_POLL_MILLIS : 1);
    } catch (IOException e) {
      LOG.debug("cannot read the log page from the primary or store it", e);
      scheduleFetch(expectedGeneration, RETRY_MILLIS);
    }
  }

  private void scheduleFetch(int expectedGeneration, long delayMillis) {
    vertx.setTimer(delayMillis, id -> fetch(expectedGeneration));
  }
}
