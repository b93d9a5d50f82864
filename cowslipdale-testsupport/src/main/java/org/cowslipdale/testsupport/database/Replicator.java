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

/** Fetches the primary's log into a replica; confined to the server's thread. */
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

  /** Starts to follow a primary, or stops if there is none to follow. */
  void follow(@Nullable String address) {
    primary = address;
    generation++;
    currentAsOfMillis = Long.MIN_VALUE;
    if (address != null) {
      fetch(generation);
    }
  }

  /** Returns how old the replica's data is at most, in milliseconds. */
  long ageMillis(long now) {
    if (currentAsOfMillis == Long.MIN_VALUE) {
      return Long.MAX_VALUE / 4;
    }
    return now - currentAsOfMillis;
  }

  private void fetch(int expected) {
    if (expected != generation) {
      return;
    }
    if (faults.get().stopReplication()) {
      scheduleFetch(expected, RETRY_MILLIS);
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
        .onSuccess(body -> handlePage(expected, sentAt, body))
        .onFailure(e -> scheduleFetch(expected, RETRY_MILLIS));
  }

  private void handlePage(int expected, long sentAt, Buffer body) {
    long lag = faults.get().lagMillis();
    if (lag == 0) {
      apply(expected, sentAt, body);
    } else {
      vertx.setTimer(lag, id -> apply(expected, sentAt, body));
    }
  }

  private void apply(int expected, long sentAt, Buffer body) {
    if (expected != generation) {
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
      scheduleFetch(expected, page.records().isEmpty() ? IDLE_POLL_MILLIS : 1);
    } catch (IOException e) {
      LOG.debug("the primary sent no log", e);
      scheduleFetch(expected, RETRY_MILLIS);
    }
  }

  private void scheduleFetch(int expected, long delayMillis) {
    vertx.setTimer(delayMillis, id -> fetch(expected));
  }
}
