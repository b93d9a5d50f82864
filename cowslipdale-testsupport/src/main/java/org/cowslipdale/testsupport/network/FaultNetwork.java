package org.cowslipdale.testsupport.network;

import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The links between failure domains, one for each pair of a domain and an address outside it. */
public final class FaultNetwork implements AutoCloseable {

  private final Vertx vertx = Vertx.vertx();
  private final Map<Route, FaultLink> links = new HashMap<>();

  /**
   * The path from a failure domain to an address in another one.
   *
   * @param from the failure domain that opens the connections
   * @param to the failure domain of the address
   * @param address the address
   */
  public record Route(String from, String to, String address) {}

  /**
   * Returns the address of the link for a route and creates the link if it does not exist.
   *
   * @param route the route
   */
  public String proxyAddress(Route route) {
    return links.computeIfAbsent(route, key -> new FaultLink(vertx, key.address())).address();
  }

  /**
   * Sets the condition of all links between two failure domains, in both directions.
   *
   * @param a one failure domain
   * @param b the other failure domain
   * @param condition the condition
   */
  public void setConditionBetween(String a, String b, LinkCondition condition) {
    setConditionFrom(a, b, condition);
    setConditionFrom(b, a, condition);
  }

  /**
   * Sets the condition of the links that one failure domain opens to another one.
   *
   * @param from the failure domain that opens the connections
   * @param to the other failure domain
   * @param condition the condition
   */
  public void setConditionFrom(String from, String to, LinkCondition condition) {
    forEachLink(from, to, link -> link.setCondition(condition));
  }

  /**
   * Performs an action on the links that one failure domain opens to another one.
   *
   * @param from the failure domain that opens the connections
   * @param to the other failure domain
   * @param action the action to perform on each link
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
   * Drops all traffic between a failure domain and the others.
   *
   * @param domain the failure domain
   */
  public void isolate(String domain) {
    setConditionAround(domain, LinkCondition.DROP_ALL);
  }

  /**
   * Removes the faults of all links between a failure domain and the others.
   *
   * @param domain the failure domain
   */
  public void reconnect(String domain) {
    setConditionAround(domain, LinkCondition.NO_FAULTS);
  }

  /**
   * Drops all further bytes of the connections between failure domains that are open now; new
   * connections work.
   */
  public void blackholeOpenConnections() {
    links.values().forEach(FaultLink::blackholeOpenConnections);
  }

  /** Returns the number of bytes that all links received, including dropped ones. */
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
