package support;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/** A server of a group, as PROTOCOL.md describes it. */
final class DatabaseServer {

  private static final int SLOTS = 5;
  private static final long WORK_MILLIS = 5;
  private static final long CONNECT_MILLIS = 12;
  private static final long HEARTBEAT_MILLIS = 1_200;

  private static final AtomicLong SIGNATURES = new AtomicLong();

  private final DatabaseGroup group;
  private final Operator control;
  private final String id;
  private final String zone;
  private final long receiveMillis;
  private final List<DatabaseGroup.Commit> log = new ArrayList<>();
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private final long born = System.currentTimeMillis();
  private final Object heartbeatLock = new Object();
  private long sequence;
  private volatile boolean running = true;
  private volatile boolean draining;
  private volatile boolean deaf;
  private volatile int rowsOfLargeItem;
  private volatile int bytesOfLargeRow;

  /** Fails a statement with the code that is its message. */
  private static final class Refused extends Exception {

    private static final long serialVersionUID = 1;

    Refused(String code) {
      super(code, null, false, false);
    }
  }

  DatabaseServer(
      DatabaseGroup group,
      Operator control,
      String id,
      String host,
      String zone,
      long receiveMillis)
      throws IOException {
    this.group = group;
    this.control = control;
    this.id = id;
    this.zone = zone;
    this.receiveMillis = receiveMillis;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName(host));
    Thread.ofVirtual().start(this::accept);
    Thread.ofVirtual().start(this::sendHeartbeats);
  }

  String id() {
    return id;
  }

  boolean isRunning() {
    return running;
  }

  /** Returns the log; guarded by the lock of the group. */
  List<DatabaseGroup.Commit> log() {
    return log;
  }

  /** Returns the time after which a commit of the primary is received. */
  long receiveMillis() {
    return receiveMillis;
  }

  boolean isDeaf() {
    return deaf;
  }

  /** Makes a replica receive nothing, or receive again. */
  void setDeaf(boolean value) {
    deaf = value;
    group.record().line("%s %s", id, value ? "receives nothing" : "receives again");
  }

  /** Makes reads of the item {@code statement} return many rows. */
  void setLargeItem(int rows, int bytes) {
    bytesOfLargeRow = bytes;
    rowsOfLargeItem = rows;
  }

  /** Announces that the server leaves; it serves for {@code drainMs} and longer. */
  void drain() {
    draining = true;
    group.record().line("%s drains", id);
    reportNow();
  }

  /** Ends the server without warning: its connections are reset and its heartbeats cease. */
  void crash() {
    if (!running) {
      return;
    }
    running = false;
    group.record().line("%s ends", id);
    synchronized (group) {
      group.notifyAll();
    }
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException e) {
      group.record().line("a socket of %s cannot be closed: %s", id, e);
    }
  }

  /** Sends a heartbeat at once, since the role or the state has changed. */
  void reportNow() {
    if (running) {
      Thread.ofVirtual().start(this::sendHeartbeat);
    }
  }

  private void sendHeartbeats() {
    while (running) {
      sendHeartbeat();
      Operator.pause(HEARTBEAT_MILLIS);
    }
  }

  private void sendHeartbeat() {
    synchronized (heartbeatLock) {
      boolean leaves = draining;
      String body =
          """
          {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":%d,"state":"%s",\
          "coldRemainingMs":0,"dbRole":"%s","sequence":%d,"born":%d}\
          """
              .formatted(
                  group.service(),
                  listener.getInetAddress().getHostAddress(),
                  listener.getLocalPort(),
                  zone,
                  SLOTS,
                  leaves ? "draining" : "ready",
                  group.leads(this) ? "primary" : "replica",
                  ++sequence,
                  born);
      try {
        Operator.Answer answer =
            control.sendUntilClear(
                "POST", "/v1/instances/" + id + "/heartbeat", body.getBytes(UTF_8), 5_000);
        if (leaves && answer.status() == 200) {
          group.record().line("draining of %s is acknowledged", id);
        }
      } catch (IOException e) {
        group.record().line("no answer to a heartbeat of %s", id);
      }
    }
  }

  private void accept() {
    while (running) {
      try {
        Socket socket = listener.accept();
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      Lines in = new Lines(socket.getInputStream());
      OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
      String start = in.read();
      if (start == null) {
        return;
      }
      String[] words = start.split(" ");
      boolean mine =
          words.length >= 3
              && words[0].equals("START")
              && words[1].equals(group.service())
              && (words.length == 3 || words[3].equals(id));
      if (!mine) {
        send(out, "ERROR WRONGNODE " + id + "\r\n");
        return;
      }
      work(CONNECT_MILLIS);
      send(out, "READY I " + position() + "\r\n");
      Connection connection = new Connection(words[2]);
      for (String line = in.read(); line != null && running; line = in.read()) {
        String[] fields = line.split(" ", 3);
        if (!fields[0].equals("QUERY") || fields.length < 3) {
          return;
        }
        connection.run(fields[1], fields[2], out);
      }
    } catch (IOException e) {
      // A connection that is closed rolls back.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      sockets.remove(socket);
    }
  }

  private static void send(OutputStream out, String lines) throws IOException {
    out.write(lines.getBytes(ISO_8859_1));
    out.flush();
  }

  private void work(long millis) throws InterruptedException {
    slots.acquire();
    try {
      Thread.sleep(millis);
    } finally {
      slots.release();
    }
  }

  private String position() {
    synchronized (group) {
      return log.isEmpty() ? "1.0" : log.getLast().term() + "." + log.getLast().number();
    }
  }

  /** The state of one connection. */
  private final class Connection {

    private final String tenant;
    private final Map<String, String> prepared = new HashMap<>();
    private List<String> transaction;
    private boolean readOnly;
    private boolean failed;
    private int rows;

    Connection(String tenant) {
      this.tenant = tenant;
    }

    void run(String statement, String text, OutputStream out)
        throws IOException, InterruptedException {
      StringBuilder lines = new StringBuilder();
      rows = 0;
      try {
        String row = execute(statement, text);
        if (!running) {
          throw new IOException("the server has ended");
        }
        if (rows > 0) {
          byte[] line = ("ROW " + "x".repeat(bytesOfLargeRow) + "\r\n").getBytes(ISO_8859_1);
          for (int i = 0; i < rows; i++) {
            out.write(line);
          }
        } else if (row != null) {
          lines.append("ROW ").append(row).append("\r\n");
        }
        String signature =
            statement.equals("-") ? "-" : id + "." + SIGNATURES.incrementAndGet();
        lines.append("COMPLETE ").append(signature).append("\r\n");
      } catch (Refused e) {
        failed = transaction != null;
        lines.append("ERROR ").append(e.getMessage()).append(' ').append(id).append("\r\n");
      }
      String state = transaction == null ? "I" : failed ? "E" : "T";
      lines.append("READY ").append(state).append(' ').append(position()).append("\r\n");
      send(out, lines.toString());
    }

    private String execute(String statement, String text) throws Refused, InterruptedException {
      String rest = text;
      if (text.startsWith("AFTER ")) {
        String[] words = text.split(" ", 3);
        if (!contains(words[1])) {
          throw new Refused("LAGGING");
        }
        rest = words[2];
      }
      String[] words = rest.split(" ", 4);
      if (failed && !words[0].equals("COMMIT") && !words[0].equals("ROLLBACK")) {
        throw new Refused("MALFORMED");
      }
      return switch (words[0]) {
        case "STATUS" -> {
          work(1);
          yield "%s %d %s %d 0 0 %d"
              .formatted(
                  group.leads(DatabaseServer.this) ? "primary" : "replica",
                  group.term(),
                  position(),
                  group.term(),
                  sockets.size());
        }
        case "SET", "RESET" -> null;
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          yield null;
        }
        case "BEGIN" -> {
          readOnly = words.length > 1;
          if (!readOnly && !group.leads(DatabaseServer.this)) {
            throw new Refused("READONLY");
          }
          transaction = new ArrayList<>();
          failed = false;
          yield null;
        }
        case "READ" -> read(statement, words[1]);
        case "WRITE" -> write(statement);
        case "EXECUTE" -> {
          String kind = prepared.get(words[1]);
          if (kind == null) {
            throw new Refused("NOSTMT");
          }
          yield kind.equals("WRITE") ? write(statement) : read(statement, words[2]);
        }
        case "COMMIT" -> commit(statement);
        case "ROLLBACK" -> {
          transaction = null;
          failed = false;
          yield null;
        }
        default -> throw new Refused("MALFORMED");
      };
    }

    private String read(String statement, String item) throws InterruptedException {
      work(WORK_MILLIS);
      group.record().line("%s runs read %s of %s for %s", id, statement, item, tenant);
      rows = item.equals("statement") ? rowsOfLargeItem : 0;
      return "value";
    }

    private String write(String statement) throws Refused, InterruptedException {
      work(WORK_MILLIS);
      if (!group.leads(DatabaseServer.this) || (transaction != null && readOnly)) {
        throw new Refused("READONLY");
      }
      group.record().line("%s runs write %s for %s", id, statement, tenant);
      if (transaction != null) {
        transaction.add(statement);
      } else if (!group.commit(DatabaseServer.this, List.of(statement))) {
        throw new Refused("READONLY");
      }
      return null;
    }

    private String commit(String statement) throws Refused, InterruptedException {
      if (transaction == null) {
        throw new Refused("MALFORMED");
      }
      work(WORK_MILLIS);
      List<String> writes = transaction;
      transaction = null;
      if (failed) {
        failed = false;
        throw new Refused("ABORTED");
      }
      group.record().line("%s runs commit %s for %s", id, statement, tenant);
      if (!writes.isEmpty() && !group.commit(DatabaseServer.this, writes)) {
        throw new Refused("READONLY");
      }
      return null;
    }

    private boolean contains(String position) {
      int dot = position.indexOf('.');
      long term = Long.parseLong(position.substring(0, dot));
      long number = Long.parseLong(position.substring(dot + 1));
      synchronized (group) {
        return number == 0
            || (!log.isEmpty()
                && (log.getLast().term() > term
                    || (log.getLast().term() == term && log.getLast().number() >= number)));
      }
    }
  }
}
