package org.cowslipdale.testsupport.database;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.function.Supplier;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.core.backend.Announcement;

/** Announces a stand-in server to some of the VMs in turn, repeatedly. */
final class Announcer {

  private static final ObjectMapper JSON = Codecs.json();
  private static final long INTERVAL_MILLIS = 500;
  private static final long TIMEOUT_MILLIS = 400;
  private static final int VMS_PER_ROUND = 3;

  private final Vertx vertx;
  private final HttpClient client;
  private final List<String> vms;
  private final String token;
  private final Supplier<Announcement> announcementSupplier;
  private int nextVm;

  Announcer(Vertx vertx, List<String> vms, String token, Supplier<Announcement> current) {
    this.client = vertx.createHttpClient();
    this.vms = List.copyOf(vms);
    this.token = token;
    this.announcementSupplier = current;
    this.vertx = vertx;
  }

  void start() {
    vertx.setPeriodic(0, INTERVAL_MILLIS, id -> announce());
  }

  private void announce() {
    Announcement announcement = announcementSupplier.get();
    for (int i = 0; i < Math.min(VMS_PER_ROUND, vms.size()); i++) {
      send(vms.get(nextVm++ % vms.size()), announcement);
    }
  }

  private void send(String vm, Announcement announcement) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.POST)
            .setAbsoluteURI("http://" + vm + "/v1/announcements")
            .putHeader("Authorization", "Bearer " + token)
            .setTimeout(TIMEOUT_MILLIS);
    Buffer body;
    try {
      body = Buffer.buffer(JSON.writeValueAsBytes(announcement));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("announcements can be written as JSON", e);
    }
    client.request(options).compose(request -> request.send(body)).onFailure(e -> {});
  }
}
