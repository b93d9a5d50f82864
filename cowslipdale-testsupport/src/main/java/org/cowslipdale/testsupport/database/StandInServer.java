package org.cowslipdale.testsupport.database;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.NullNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.protocol.BackendAnswer;
import org.cowslipdale.config.protocol.BackendCall;
import org.cowslipdale.config.protocol.PromotionCall;
import org.cowslipdale.config.protocol.ServerStatus;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.backend.ServerRole;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.testsupport.database.LogPage.Start;
import org.cowslipdale.testsupport.database.LogRecord.Write;
import org.cowslipdale.testsupport.database.StatementEngine.Effect;
import org.cowslipdale.testsupport.database.StatementEngine.StatementException;
import org.jspecify.annotations.Nullable;

/**
 * A database server for demonstrations and tests: one process of a group.
 *
 * <p>It speaks what {@code docs/BACKENDS.md} asks of a backend server, runs a small key-value
 * language, replicates asynchronously, and misbehaves on demand. All state belongs to one event
 * loop.
 */
public final class StandInServer {

  /** The most records that one log page holds. */
  static final int PAGE_RECORDS = 1_000;

  private static final ObjectMapper JSON = Codecs.json();
  private static final long POLL_MILLIS = 2;

  private final Vertx vertx;
  private final StandInOptions options;
  private final LogStore store;
  private final StatementEngine engine;
  private final RunLog runLog;
  private final Replicator replicator;
  private final Announcer announcer;
  private final Map<HttpConnection, Session> sessions = new HashMap<>();
  private final Deque<Runnable> waitingForSlot = new ArrayDeque<>();
  private final long incarnation = System.currentTimeMillis();
  private Faults faults;
  private ServerRole role = ServerRole.REPLICA;
  private long sequence;
  private int busySlots;
  private int lastConnectionNumber;
  private String previousCallId = "";

  /** What lives as long as a connection. */
  private static final class Session {

    private final int connectionNumber;
    private @Nullable List<Write> transaction;
    private boolean connectDelayApplied;

    Session(int number) {
      this.connectionNumber = number;
    }
  }

  private StandInServer(Vertx vertx, StandInOptions options) throws IOException {
    this.vertx = vertx;
    this.options = options;
    this.store = new LogStore(options.data.isEmpty() ? null : Path.of(options.data));
    this.engine = new StatementEngine(store);
    this.runLog = new RunLog(options.runLog);
    this.faults = Faults.none(options.lagMillis);
    this.replicator = new Replicator(vertx, store, () -> faults);
    this.announcer =
        new Announcer(
            vertx,
            options.announceTo.stream().map(options::translateAddress).toList(),
            options.announceToken,
            this::announcement);
  }

  /**
   * Starts a server.
   *
   * @param args see {@code --help}
   */
  public static void main(String[] args) throws IOException {
    StandInOptions options = new StandInOptions();
    JCommander commander =
        JCommander.newBuilder().programName("stand-in").addObject(options).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(2);
    }
    if (options.help) {
      commander.usage();
      return;
    }
    Vertx vertx = Vertx.vertx();
    StandInServer server = new StandInServer(vertx, options);
    vertx.getOrCreateContext().runOnContext(ignored -> server.start());
  }

  static long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void start() {
    String[] address = options.listen.split(":", 2);
    vertx
        .createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
        .connectionHandler(this::acceptConnection)
        .requestHandler(this::handle)
        .listen(Integer.parseInt(address[1]), address[0])
        .onSuccess(
            server -> {
              announcer.start();
              System.out.println("stand-in " + options.name + " ready");
            })
        .onFailure(
            e -> {
              System.err.println("cannot bind " + options.listen + ": " + e.getMessage());
              System.exit(5);
            });
  }

  private void acceptConnection(HttpConnection connection) {
    if (sessions.size() >= options.connectionLimit + 20) {
      connection.close();
      return;
    }
    sessions.put(connection, new Session(++lastConnectionNumber));
    connection.closeHandler(ignored -> sessions.remove(connection));
  }

  private Announcement announcement() {
    return new Announcement(
        options.database,
        options.name,
        options.advertise.isEmpty() ? options.listen : options.advertise,
        options.failureDomain,
        options.region,
        role,
        new LogPosition(store.term(), store.offset()),
        ageMillis(),
        options.slots,
        options.connectionLimit,
        faults.leaving(),
        incarnation,
        ++sequence);
  }

  private long ageMillis() {
    return role == ServerRole.PRIMARY ? 0 : replicator.ageMillis(monotonicMillis());
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> dispatch(request, body));
  }

  private void dispatch(HttpServerRequest request, Buffer body) {
    try {
      switch (request.path()) {
        case "/statement", "/begin", "/commit", "/rollback" ->
            handleCall(request, JSON.readValue(body.getBytes(), BackendCall.class));
        case "/status" -> answer(request, status());
        case "/promote" -> promote(request, JSON.readValue(body.getBytes(), PromotionCall.class));
        case "/await" -> handleAwait(request, JSON.readValue(body.getBytes(), BackendCall.class));
        case "/log" -> answer(request, logPage(request));
        case "/faults" -> {
          faults = JSON.readValue(body.getBytes(), Faults.class);
          answer(request, faults);
        }
        default -> request.response().setStatusCode(404).end();
      }
    } catch (IOException e) {
      request.response().setStatusCode(400).end(String.valueOf(e.getMessage()));
    }
  }

  private ServerStatus status() {
    return new ServerStatus(options.name, role, store.term(), store.offset(), store.term());
  }

  private LogPage logPage(HttpServerRequest request) {
    long from = Long.parseLong(request.getParam("from", "0"));
    long known = Long.parseLong(request.getParam("term", "0"));
    long start = from;
    for (Start term : store.starts()) {
      if (term.term() > known) {
        start = Math.min(start, term.offset());
      }
    }
    List<LogRecord> records = store.recordsFrom(start, PAGE_RECORDS);
    return new LogPage(store.term(), start, records, store.starts());
  }

  private void promote(HttpServerRequest request, PromotionCall call) throws IOException {
    boolean sameAgain = call.term() == store.term() && role == ServerRole.PRIMARY;
    if (call.primary() == null && !sameAgain) {
      if (call.term() <= store.term()) {
        request.response().setStatusCode(409).end("term " + store.term() + " is known");
        return;
      }
      replicator.follow(null);
      role = ServerRole.PRIMARY;
      store.startTerm(new Start(call.term(), store.offset()));
    } else if (call.primary() != null) {
      role = ServerRole.REPLICA;
      abortTransactions();
      replicator.follow(options.translateAddress(call.primary()));
    }
    answer(request, status());
  }

  private void abortTransactions() {
    sessions.values().forEach(session -> session.transaction = null);
  }

  /** Answers when the log has reached the offset of the call, or when the time is up. */
  private void handleAwait(HttpServerRequest request, BackendCall call) {
    awaitOffset(
        call.minOffset(),
        monotonicMillis() + call.waitMillis(),
        reached -> answer(request, status()));
  }

  private void awaitOffset(long offset, long deadline, Consumer<Boolean> then) {
    if (store.offset() >= offset) {
      then.accept(true);
    } else if (monotonicMillis() >= deadline) {
      then.accept(false);
    } else {
      vertx.setTimer(POLL_MILLIS, id -> awaitOffset(offset, deadline, then));
    }
  }

  private void handleCall(HttpServerRequest request, BackendCall call) {
    Session session = sessions.get(request.connection());
    if (session == null) {
      request.connection().close();
      return;
    }
    if (!session.connectDelayApplied && options.connectMillis > 0) {
      session.connectDelayApplied = true;
      vertx.setTimer(options.connectMillis, id -> runWhenSlotIsFree(request, call, session));
      return;
    }
    runWhenSlotIsFree(request, call, session);
  }

  private void runWhenSlotIsFree(HttpServerRequest request, BackendCall call, Session session) {
    Runnable work = () -> executeAtOffset(request, call, session);
    if (busySlots < options.slots) {
      busySlots++;
      work.run();
    } else {
      waitingForSlot.add(work);
    }
  }

  private void releaseSlot() {
    Runnable next = waitingForSlot.poll();
    if (next == null) {
      busySlots--;
    } else {
      next.run();
    }
  }

  private void executeAtOffset(HttpServerRequest request, BackendCall call, Session session) {
    Runnable run =
        () ->
            awaitOffset(
                call.minOffset(),
                monotonicMillis() + call.waitMillis(),
                reached -> executeAndRespond(request, call, session, reached));
    if (options.serviceMillis > 0) {
      vertx.setTimer(options.serviceMillis, id -> run.run());
    } else {
      run.run();
    }
  }

  private void executeAndRespond(
      HttpServerRequest request, BackendCall call, Session session, boolean reached) {
    try {
      BackendAnswer answer = execute(request, call, session, reached);
      String effect =
          answer.declined() != null ? "declined" : answer.error() != null ? "failed" : "ran";
      runLog.write(
          new RunLog.Entry(
              System.currentTimeMillis(),
              options.name,
              session.connectionNumber,
              request.path(),
              call.call(),
              call.statement(),
              effect,
              store.term(),
              store.offset(),
              headers(request)));
      send(request, call, answer);
    } catch (IOException e) {
      request.response().setStatusCode(500).end(String.valueOf(e.getMessage()));
    } finally {
      releaseSlot();
    }
  }

  private BackendAnswer execute(
      HttpServerRequest request, BackendCall call, Session session, boolean reached)
      throws IOException {
    List<Write> pending = session.transaction;
    String declined = pending == null ? rejectionReason(call, reached) : null;
    if (declined != null) {
      return answer(call, null, declined, null);
    }
    try {
      return switch (request.path()) {
        case "/begin" -> {
          session.transaction = new ArrayList<>();
          yield answer(call, NullNode.instance, null, null);
        }
        case "/commit" -> commit(call, session);
        case "/rollback" -> {
          session.transaction = null;
          yield answer(call, NullNode.instance, null, null);
        }
        default -> executeStatement(call, pending);
      };
    } catch (StatementException e) {
      return answer(call, null, null, e.getMessage());
    }
  }

  private @Nullable String rejectionReason(BackendCall call, boolean reached) {
    if (call.term() != store.term()) {
      return BackendAnswer.WRONG_TERM;
    }
    if (call.asPrimary() && role != ServerRole.PRIMARY) {
      return BackendAnswer.NOT_PRIMARY;
    }
    if (!reached) {
      return BackendAnswer.BEHIND;
    }
    return ageMillis() > call.maxAgeMillis() ? BackendAnswer.TOO_OLD : null;
  }

  private BackendAnswer executeStatement(BackendCall call, @Nullable List<Write> pending)
      throws IOException, StatementException {
    String statement = call.statement() == null ? "" : call.statement();
    if (!call.write() && StatementEngine.isWriteStatement(statement)) {
      throw new StatementException("the class of the request is read-only");
    }
    Effect effect = engine.run(statement, pending == null ? List.of() : pending);
    if (pending != null) {
      pending.addAll(effect.writes());
    } else if (!effect.writes().isEmpty()) {
      store.append(new LogRecord(store.term(), effect.writes()));
    }
    return answer(call, effect.result(), null, null);
  }

  private BackendAnswer commit(BackendCall call, Session session)
      throws IOException, StatementException {
    List<Write> pending = session.transaction;
    session.transaction = null;
    if (pending == null || (role != ServerRole.PRIMARY && !pending.isEmpty())) {
      throw new StatementException("no transaction is open");
    }
    if (!pending.isEmpty()) {
      store.append(new LogRecord(store.term(), pending));
    }
    return answer(call, NullNode.instance, null, null);
  }

  private BackendAnswer answer(
      BackendCall call,
      @Nullable JsonNode result,
      @Nullable String declined,
      @Nullable String error) {
    return new BackendAnswer(
        call.call(), store.term(), store.offset(), ageMillis(), result, declined, error);
  }

  private void send(HttpServerRequest request, BackendCall call, BackendAnswer answer) {
    String id = faults.wrongCall() ? previousCallId : answer.call();
    previousCallId = call.call();
    if (faults.dropAnswers()) {
      return;
    }
    BackendAnswer sent =
        new BackendAnswer(
            id,
            answer.term(),
            answer.offset(),
            answer.ageMillis(),
            answer.result(),
            answer.declined(),
            answer.error());
    if (faults.answerDelayMillis() > 0) {
      vertx.setTimer(faults.answerDelayMillis(), timer -> answer(request, sent));
    } else {
      answer(request, sent);
    }
  }

  private static Map<String, String> headers(HttpServerRequest request) {
    Map<String, String> headers = new TreeMap<>();
    request.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    return headers;
  }

  private static void answer(HttpServerRequest request, Object body) {
    try {
      if (!request.response().closed()) {
        request
            .response()
            .putHeader("Content-Type", "application/json")
            .end(Buffer.buffer(JSON.writeValueAsBytes(body)));
      }
    } catch (IOException e) {
      request.response().setStatusCode(500).end(String.valueOf(e.getMessage()));
    }
  }
}
