import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/**
 * A service of one primary and two replicas that speak the line protocol and send heartbeats, and the
 * platform's call that replaces the primary. Replicas have everything 20 ms after the primary.
 */
final class Service implements AutoCloseable {

  static final String NAME = "huvo11a";
  private static final int REPLICA_LAG_MILLIS = 20;
  private static final int HEARTBEAT_MILLIS = 1_200;
  private static final int PROMOTE_MILLIS = 300;
  private static final int SLOTS = 3;

  /** A statement that a server ran. */
  record Run(String server, String tenant, String id, String text) {}

  private record Commit(long millis, long term, Map<String, String> items) {}

  private final Fleet fleet;
  private final Record record;
  private final List<Node> nodes = new ArrayList<>();
  private final List<Commit> log = new ArrayList<>();
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private final HttpServer platform;
  private Node primary;
  private long term = 1;
  private long fence;
  private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
  private volatile long workMillis;
  private volatile long promotionCallMillis;
  private volatile Consumer<String> promotionCalled = id -> {};
  private volatile boolean closed;

  Service(Fleet fleet, Record record) throws IOException {
    this.fleet = fleet;
    this.record = record;
    for (int i = 0; i < 3; i++) {
      nodes.add(new Node(i));
    }
    primary = nodes.getFirst();
    String[] address = fleet.platformAddress.split(":");
    platform =
        HttpServer.create(new InetSocketAddress(address[0], Integer.parseInt(address[1])), 50);
    platform.createContext(
        "/failover",
        exchange -> {
          String body = new String(exchange.getRequestBody().readAllBytes());
          nodes.stream()
              .filter(node -> body.contains("\"" + node.id + "\""))
              .forEach(node -> promotionCalled.accept(node.id));
          pause(promotionCallMillis);
          long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"));
          int status = promote(body, token);
          record.line("platform: POST /failover %s fence %d -> %d", body, token, status);
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    platform.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    platform.start();
    nodes.forEach(node -> Thread.startVirtualThread(node::accept));
    nodes.forEach(node -> Thread.ofPlatform().daemon(true).start(node::sendHeartbeats));
  }

  /** Sets how long a server works on a statement; it works on as many at a time as it has slots. */
  void setWorkMillis(long millis) {
    workMillis = millis;
  }

  /**
   * Makes the platform take its time for each call that replaces a primary.
   *
   * @param millis how long it takes until the call is carried out and answered
   * @param called receives the id of the named server when a call arrives
   */
  void setSlowPlatform(long millis, Consumer<String> called) {
    promotionCallMillis = millis;
    promotionCalled = called;
  }

  synchronized String primaryId() {
    return primary.id;
  }

  /** Ends a server: its connections end and it sends no heartbeats. */
  void crash(String id) {
    record.line("server %s crashes", id);
    node(id).crash();
  }

  /** Starts a crashed server again, under its id, at its address and with its log. */
  void restart(String id) {
    record.line("server %s starts again", id);
    node(id).restart();
  }

  private Node node(String id) {
    return nodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
  }

  /** Returns whether a statement has reached a server. */
  boolean hasArrived(String id) {
    return arrivals.containsKey(id);
  }

  List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Returns a configuration with one route of each type and one tenant. */
  static String configuration(long version, String key, int moreRoutes) {
    StringBuilder routes = new StringBuilder();
    String[] types = {"primary", "bounded", "read_your_writes"};
    for (int i = 0; i < types.length + moreRoutes; i++) {
      String type = types[i % types.length];
      String name = i < types.length ? "db-" + type : "xapu%06dny".formatted(i);
      routes.append(i == 0 ? "" : ",");
      routes.append(
          """
          {"name":"r-%07d","database":"%s","pathPrefix":"/","routeType":"%s","timeoutMs":2000,\
          "targetLatencyMs":1200,"priority":1,"service":"%s","maxAttempts":2%s,"public":false}"""
              .formatted(
                  i, name, type, NAME, type.equals("primary") ? "" : ",\"maxStalenessMs\":1500"));
    }
    return """
    {"version":%d,"routes":[%s],"services":[{"name":"%s","healthCheckPath":"/health",\
    "maxConnections":38,"protocol":"h1","tls":false,"syncReplicas":0}],"limits":\
    {"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000,\
    "txIdleMs":3000},"tenants":[{"name":"nypu920","apiKeys":["%s"],"priority":1,"ratePerS":500,\
    "burst":500}]}"""
        .formatted(version, routes, NAME, key);
  }

  private synchronized int promote(String body, long token) {
    Node target =
        nodes.stream().filter(node -> body.contains("\"" + node.id + "\"")).findFirst().orElse(null);
    if (target == null || target.down || token < fence) {
      return 409;
    }
    fence = token;
    if (target != primary) {
      Thread.startVirtualThread(
          () -> {
            pause(PROMOTE_MILLIS);
            synchronized (this) {
              int held = target.size();
              log.subList(held, log.size()).clear();
              primary = target;
              term++;
            }
            nodes.forEach(Node::sendHeartbeat);
          });
    }
    return 200;
  }

  /** Keeps the beginning of a long text only; no case reads long data. */
  private static String shorten(String text) {
    return text.length() <= 300 ? text : text.substring(0, 80) + "... (%d bytes)".formatted(text.length());
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    platform.stop(0);
    for (Node node : nodes) {
      node.listener.close();
    }
  }

  private final class Node {

    private final String id =
        "i-%08x".formatted(ThreadLocalRandom.current().nextInt(1 << 20, Integer.MAX_VALUE));
    private final String zone;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean down;
    private long born = System.currentTimeMillis();
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private long sequence;

    Node(int number) throws IOException {
      zone = List.of("thes-a", "ath-a", "thes-b").get(number);
      listener =
          new ServerSocket(0, 100, InetAddress.getByName(fleet.network + (210 + number)));
    }

    int size() {
      synchronized (Service.this) {
        if (this == primary) {
          return log.size();
        }
        int size = log.size();
        while (size > 0
            && log.get(size - 1).millis > System.currentTimeMillis() - REPLICA_LAG_MILLIS) {
          size--;
        }
        return size;
      }
    }

    String position() {
      synchronized (Service.this) {
        int size = size();
        return (size == 0 ? 1 : log.get(size - 1).term) + "." + size;
      }
    }

    void accept() {
      while (!closed) {
        try {
          Socket socket = listener.accept();
          if (down) {
            socket.close();
            continue;
          }
          sockets.add(socket);
          Thread.startVirtualThread(() -> new Connection(this).serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    void crash() {
      down = true;
      for (Socket socket : sockets) {
        try {
          socket.close();
        } catch (IOException e) {
          continue;
        }
      }
      sockets.clear();
    }

    synchronized void restart() {
      born = System.currentTimeMillis();
      sequence = 0;
      down = false;
    }

    void sendHeartbeats() {
      while (!closed) {
        sendHeartbeat();
        pause(HEARTBEAT_MILLIS);
      }
    }

    synchronized void sendHeartbeat() {
      if (down) {
        return;
      }
      String role;
      synchronized (Service.this) {
        role = this == primary ? "primary" : "replica";
      }
      sequence++;
      String body =
          """
          {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":%d,"state":"ready",\
          "coldRemainingMs":0,"dbRole":"%s","sequence":%d,"born":%d}"""
              .formatted(
                  NAME,
                  listener.getInetAddress().getHostAddress(),
                  listener.getLocalPort(),
                  zone,
                  SLOTS,
                  role,
                  sequence,
                  born);
      int first = ThreadLocalRandom.current().nextInt(fleet.controlVms().size());
      for (int i = 0; i < fleet.controlVms().size(); i++) {
        String vm = fleet.controlVms().get((first + i) % fleet.controlVms().size());
        try {
          if (fleet.post(fleet.control(vm), "/v1/instances/" + id + "/heartbeat", body) == 200) {
            return;
          }
        } catch (IOException e) {
          continue;
        }
      }
    }
  }

  /** The server side of one connection. */
  private final class Connection {

    private final Node node;
    private final Map<String, String> prepared = new HashMap<>();
    private String tenant = "-";
    private Map<String, String> transaction;
    private boolean readOnly;

    Connection(Node node) {
      this.node = node;
    }

    void serve(Socket socket) {
      try (Lines lines = new Lines(socket)) {
        String start = lines.read();
        String[] fields = start == null ? new String[0] : start.split(" ");
        if (fields.length < 3
            || !fields[0].equals("START")
            || !fields[1].equals(NAME)
            || (fields.length > 3 && !fields[3].equals(node.id))) {
          lines.write("ERROR WRONGNODE " + node.id);
          return;
        }
        tenant = fields[2];
        lines.write("READY I " + node.position());
        for (String line = lines.read(); line != null; line = lines.read()) {
          String[] query = line.split(" ", 3);
          if (!query[0].equals("QUERY")) {
            return;
          }
          lines.write(answer(query[1], query.length > 2 ? query[2] : "").split("\u0000"));
        }
      } catch (IOException e) {
        return;
      }
    }

    private String answer(String id, String text) {
      if (workMillis > 0 && !id.equals("-")) {
        arrivals.put(id, System.currentTimeMillis());
        node.slots.acquireUninterruptibly();
        try {
          pause(workMillis);
        } finally {
          node.slots.release();
        }
      }
      synchronized (Service.this) {
        String body = run(id, text);
        String state = transaction == null ? "I" : "T";
        return body + "\u0000READY " + state + " " + node.position();
      }
    }

    private String run(String id, String text) {
      String statement = text;
      if (text.startsWith("AFTER ")) {
        String[] parts = text.split(" ", 3);
        String[] wanted = parts[1].split("\\.");
        if (Integer.parseInt(wanted[1]) > node.size()) {
          return "ERROR LAGGING " + node.id;
        }
        statement = parts[2];
      }
      String[] words = statement.split(" ", 3);
      if (words[0].equals("EXECUTE")) {
        String kind = prepared.get(words[1]);
        if (kind == null) {
          return "ERROR NOSTMT " + node.id;
        }
        String[] arguments = words[2].split(" ", 2);
        words =
            arguments.length > 1
                ? new String[] {kind, arguments[0], arguments[1]}
                : new String[] {kind, arguments[0]};
      }
      boolean write = words[0].equals("WRITE");
      boolean plainBegin = words[0].equals("BEGIN") && words.length == 1;
      if ((write || plainBegin) && (node != primary || (transaction != null && readOnly))) {
        return "ERROR READONLY " + node.id;
      }
      if (!id.equals("-")) {
        runs.add(new Run(node.id, tenant, id, shorten(statement)));
        record.line("server %s ran for %s: %s %s", node.id, tenant, id, shorten(statement));
      }
      switch (words[0]) {
        case "STATUS" -> {
          return "ROW %s %d %s 0 0 0 1\u0000COMPLETE -"
              .formatted(node == primary ? "primary" : "replica", term, node.position());
        }
        case "BEGIN" -> {
          transaction = new HashMap<>();
          readOnly = words.length > 1;
        }
        case "COMMIT" -> {
          if (transaction != null && !transaction.isEmpty()) {
            log.add(new Commit(System.currentTimeMillis(), term, transaction));
          }
          transaction = null;
        }
        case "ROLLBACK" -> transaction = null;
        case "PREPARE" -> prepared.put(words[1], words[2].split(" ")[0]);
        case "RESET" -> prepared.clear();
        case "WRITE" -> {
          if (transaction != null) {
            transaction.put(words[1], shorten(words[2]));
          } else {
            log.add(
                new Commit(System.currentTimeMillis(), term, Map.of(words[1], shorten(words[2]))));
          }
        }
        case "READ" -> {
          return "ROW " + read(words[1]) + "\u0000COMPLETE sig." + id;
        }
        default -> {
          // SET and DEALLOC need no state here.
        }
      }
      return "COMPLETE sig." + id;
    }

    private String read(String item) {
      if (transaction != null && transaction.containsKey(item)) {
        return transaction.get(item);
      }
      for (int i = node.size() - 1; i >= 0; i--) {
        String data = log.get(i).items.get(item);
        if (data != null) {
          return data;
        }
      }
      return "none";
    }
  }
}
