package support;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The servers of a service and the platform that promotes them, as PROTOCOL.md describes them.
 *
 * <p>The lock of the group guards the logs and roles of all servers.
 */
final class DatabaseGroup implements AutoCloseable {

  /** The time from a call to the platform until the named server leads, as on the sheet. */
  private static final long PROMOTE_MILLIS = 1_000;

  private static final long REPLICATION_TICK_MILLIS = 2;
  private static final Pattern BODY_FIELD = Pattern.compile("\"(service|id)\"\\s*:\\s*\"([^\"]*)\"");

  private final String service;
  private final int syncReplicas;
  private final Record record;
  private final List<DatabaseServer> servers = new ArrayList<>();
  private final HttpServer platform;
  private DatabaseServer primary;
  private long term = 1;
  private long nextNumber = 1;
  private long highestToken;
  private final List<Promotion> promotions = new ArrayList<>();

  /** The term in which the commit of each statement was made. */
  private final Map<String, Long> termsByStatement = new HashMap<>();

  private volatile boolean closed;

  /**
   * A commit.
   *
   * @param term the term of the primary that committed it
   * @param number its number in the log
   * @param statements the ids of the statements that wrote
   * @param committedMillis when it was committed, by the clock of the record
   */
  record Commit(long term, long number, List<String> statements, long committedMillis) {}

  /**
   * A promotion that was carried out.
   *
   * @param server the server that leads from then on
   * @param term the term that it leads
   * @param held the ids of the statements whose commits were in its log
   */
  record Promotion(String server, long term, Set<String> held) {}

  DatabaseGroup(String service, int syncReplicas, String platformHost, Record record)
      throws IOException {
    this.service = service;
    this.syncReplicas = syncReplicas;
    this.record = record;
    platform = HttpServer.create(new InetSocketAddress(platformHost, 0), 50);
    platform.setExecutor(Executors.newCachedThreadPool());
    platform.createContext("/failover", this::handleFailover);
    platform.start();
    Thread.ofVirtual().start(this::replicate);
  }

  String service() {
    return service;
  }

  Record record() {
    return record;
  }

  String platformAddress() {
    InetSocketAddress address = platform.getAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  synchronized DatabaseServer add(DatabaseServer server) {
    servers.add(server);
    if (primary == null) {
      primary = server;
    }
    return server;
  }

  synchronized DatabaseServer primary() {
    return primary;
  }

  synchronized boolean leads(DatabaseServer server) {
    return server == primary;
  }

  synchronized long term() {
    return term;
  }

  /** Returns the term in which the commit of a statement was made; 0 if there is none. */
  synchronized long termOf(String statement) {
    return termsByStatement.getOrDefault(statement, 0L);
  }

  synchronized List<Promotion> promotions() {
    return List.copyOf(promotions);
  }

  /**
   * Commits the writes of statements at a server, and waits until as many replicas as configured
   * have received them.
   *
   * @return whether they are committed; if the server stops meanwhile, no answer may be sent
   */
  synchronized boolean commit(DatabaseServer server, List<String> statements)
      throws InterruptedException {
    if (server != primary) {
      return false;
    }
    Commit commit = new Commit(term, nextNumber++, List.copyOf(statements), record.millis());
    server.log().add(commit);
    statements.forEach(statement -> termsByStatement.put(statement, commit.term()));
    while (server.isRunning() && countReceived(commit) < syncReplicas) {
      wait();
    }
    return true;
  }

  private long countReceived(Commit commit) {
    return servers.stream().filter(s -> s != primary && s.log().contains(commit)).count();
  }

  /** Copies the log of the primary to the replicas that receive. */
  private void replicate() {
    while (!closed) {
      synchronized (this) {
        long now = record.millis();
        boolean received = false;
        for (DatabaseServer server : servers) {
          if (server == primary || !server.isRunning() || server.isDeaf() || !primary.isRunning()) {
            continue;
          }
          List<Commit> source = primary.log();
          for (int i = server.log().size(); i < source.size(); i++) {
            if (source.get(i).committedMillis() + server.receiveMillis() > now) {
              break;
            }
            server.log().add(source.get(i));
            received = true;
          }
        }
        if (received) {
          notifyAll();
        }
      }
      Operator.pause(REPLICATION_TICK_MILLIS);
    }
  }

  private void handleFailover(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), UTF_8);
    String calledService = "";
    String id = "";
    for (Matcher field = BODY_FIELD.matcher(body); field.find(); ) {
      if (field.group(1).equals("service")) {
        calledService = field.group(2);
      } else {
        id = field.group(2);
      }
    }
    long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"));
    int status = promote(calledService, id, token);
    record.line(
        "failover of %s to %s, holder %s, fencing token %d: %d",
        calledService, id, exchange.getRequestHeaders().getFirst("Lease-Holder"), token, status);
    exchange.sendResponseHeaders(status, -1);
    exchange.close();
  }

  private synchronized int promote(String calledService, String id, long token) {
    DatabaseServer named =
        servers.stream().filter(server -> server.id().equals(id)).findFirst().orElse(null);
    if (!calledService.equals(service)
        || named == null
        || !named.isRunning()
        || token < highestToken) {
      return 409;
    }
    highestToken = token;
    if (named != primary) {
      Thread.ofVirtual()
          .start(
              () -> {
                Operator.pause(PROMOTE_MILLIS);
                completePromotion(named);
              });
    }
    return 200;
  }

  /** Makes a server the primary of the next term, with what it has received and nothing more. */
  private synchronized void completePromotion(DatabaseServer named) {
    if (named == primary || !named.isRunning()) {
      return;
    }
    Set<String> held = new HashSet<>();
    named.log().forEach(commit -> held.addAll(commit.statements()));
    promotions.add(new Promotion(named.id(), term + 1, held));
    record.line(
        "%s leads term %d with %d commits; the log of %s has %d",
        named.id(), term + 1, named.log().size(), primary.id(), primary.log().size());
    primary = named;
    term++;
    for (DatabaseServer server : servers) {
      server.log().retainAll(named.log());
    }
    notifyAll();
    servers.forEach(DatabaseServer::reportNow);
  }

  @Override
  public void close() {
    closed = true;
    platform.stop(0);
    List<DatabaseServer> all;
    synchronized (this) {
      all = List.copyOf(servers);
    }
    all.forEach(DatabaseServer::crash);
  }
}
