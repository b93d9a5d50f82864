package org.cowslipdale.testsupport.network;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The links between failure domains: one for each pair of a domain and an address outside it. */
public final class FaultNetwork implements AutoCloseable {

  private final Vertx vertx = Vertx.vertx();
  private final Map<Route, FaultLink> links = new HashMap<>();

  /**
   * A way from one failure domain to an address in another one.
   *
   * @param from the failure domain of the opening side
   * @param to the failure domain of the address
   * @param address the address
   */
  public record Route(String from, String to, String address) {}

  /**
   * Returns the address under which an address is reached from another failure domain.
   *
   * @param route the way
   */
  public String proxyAddress(Route route) {
    return links.computeIfAbsent(route, key -> new FaultLink(vertx, key.address())).address();
  }

  /**
   * Sets the condition of all links between two failure domains, in both directions.
   *
   * @param a a failure domain
   * @param b another failure domain
   * @param condition the condition
   */
  public void setConditionBetween(String a, String b, LinkCondition condition) {
    setConditionFrom(a, b, condition);
    setConditionFrom(b, a, condition);
  }

  /**
   * Sets the condition of the links that one failure domain opens to another one.
   *
   * @param from the failure domain of the opening side
   * @param to the other failure domain
   * @param condition the condition
   */
  public void setConditionFrom(String from, String to, LinkCondition condition) {
    forEachLink(from, to, link -> link.setCondition(condition));
  }

  /**
   * Does something to the links that one failure domain opens to another one.
   *
   * @param from the failure domain of the opening side
   * @param to the other failure domain
   * @param action what to do to each link
   */
  public void forEachLink(String from, String to, Consumer<FaultLink> action) {
    links.forEach(
        (route, link) -> {
          if (route.from().equals(from) && route.to().equals(to)) {
            action.accept(link);
          }
        });
  }

  /**
   * Cuts a failure domain off from all others.
   *
   * @param domain the failure domain
   */
  public void isolate(String domain) {
    setConditionAround(domain, LinkCondition.DROP_ALL);
  }

  /**
   * Reconnects a failure domain.
   *
   * @param domain the failure domain
   */
  public void reconnect(String domain) {
    setConditionAround(domain, LinkCondition.NO_FAULTS);
  }

  /** Makes every open connection between failure domains silent, while new ones work. */
  public void blackholeOpenConnections() {
    links.values().forEach(FaultLink::blackholeOpenConnections);
  }

  /** Returns the bytes that entered all links. */
  public long receivedBytes() {
    return links.values().stream().mapToLong(FaultLink::receivedBytes).sum();
  }

  @Override
  public void close() {
    links.values().forEach(FaultLink::close);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private void setConditionAround(String domain, LinkCondition condition) {
    links.forEach(
        (route, link) -> {
          if (route.from().equals(domain) || route.to().equals(domain)) {
            link.setCondition(condition);
          }
        });
  }
}
