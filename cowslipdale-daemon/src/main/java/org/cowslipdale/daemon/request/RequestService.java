package org.cowslipdale.daemon.request;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.config.codec.Codecs;
import org.cowslipdale.config.protocol.StatementBody;
import org.cowslipdale.core.result.Outcome;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.view.Configuration;
import org.cowslipdale.core.view.Customer;
import org.cowslipdale.core.view.OpenRoute;
import org.cowslipdale.core.view.WorkClass;
import org.cowslipdale.daemon.request.RequestClaims.Claim;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/**
 * Serves callers' requests: authenticates, admits, claims, runs and answers them.
 *
 * <p>{@link #handle} blocks the calling (virtual) thread and never throws a checked exception;
 * whatever goes wrong becomes a reply with a result code.
 */
final class RequestService {

  private static final ObjectMapper JSON = Codecs.json();
  private static final StatementBody NO_STATEMENT = new StatementBody(null, null);

  /** How long a statement of a transaction may wait for its customer's rate. */
  private static final long MAX_STEP_WAIT_MILLIS = 2_000;

  private final String vm;
  private final ViewHolder views;
  private final Authenticator authenticator;
  private final RateLimiter limiter;
  private final RequestClaims claims;
  private final StatementRunner statements;
  private final TransactionRunner transactions;
  private final TransactionForwarder forwarder;
  private final Replies replies;
  private final VmClock clock;

  RequestService(
      String vm,
      ViewHolder views,
      Authenticator authenticator,
      RateLimiter limiter,
      RequestClaims claims,
      StatementRunner statements,
      TransactionRunner transactions,
      TransactionForwarder forwarder,
      Replies replies,
      VmClock clock) {
    this.vm = requireNonNull(vm, "vm");
    this.views = requireNonNull(views, "views");
    this.authenticator = requireNonNull(authenticator, "authenticator");
    this.limiter = requireNonNull(limiter, "limiter");
    this.claims = requireNonNull(claims, "claims");
    this.statements = requireNonNull(statements, "statements");
    this.transactions = requireNonNull(transactions, "transactions");
    this.forwarder = requireNonNull(forwarder, "forwarder");
    this.replies = requireNonNull(replies, "replies");
    this.clock = requireNonNull(clock, "clock");
  }

  /** Serves a request. */
  Reply handle(CallerRequest request) {
    try {
      return dispatch(request);
    } catch (RefusalException e) {
      return Replies.refusal(e);
    }
  }

  /** Runs a step of a transaction that this VM holds. */
  Reply handle(TransactionStep step) {
    RequestContext caller = new RequestContext(step.customer(), step.session(), null, step.traceparent());
    try {
      return switch (step.kind()) {
        case STATEMENT ->
            replies.result(transactions.runStatement(caller, step.transaction(), step.body()));
        case COMMIT -> replies.result(transactions.commit(caller, step.transaction()));
        case ROLLBACK -> replies.result(transactions.rollback(caller, step.transaction()));
      };
    } catch (RefusalException e) {
      return Replies.refusal(e);
    }
  }

  private Reply dispatch(CallerRequest request) throws RefusalException {
    List<String> path = List.of(request.path().substring(1).split("/", -1));
    if (path.size() == 6
        && path.get(0).equals("v1")
        && path.get(1).equals("databases")
        && path.get(3).equals("classes")) {
      requirePost(request);
      return switch (path.get(5)) {
        case "statements" -> runStatement(request, path.get(2), path.get(4));
        case "transactions" -> beginTransaction(request, path.get(2), path.get(4));
        default -> throw new RefusalException(ResultCode.NOT_FOUND);
      };
    }
    if (path.size() == 4 && path.get(0).equals("v1") && path.get(1).equals("transactions")) {
      requirePost(request);
      return runStep(request, path.get(2), path.get(3));
    }
    if (path.size() == 3 && path.get(0).equals("v1") && path.get(1).equals("open-routes")) {
      return runOpenRoute(request, path.get(2));
    }
    throw new RefusalException(ResultCode.NOT_FOUND);
  }

  private static void requirePost(CallerRequest request) throws RefusalException {
    if (!request.method().equals("POST")) {
      throw new RefusalException(ResultCode.BAD_REQUEST, "Use the method POST.");
    }
  }

  private Reply runStatement(CallerRequest request, String database, String className)
      throws RefusalException {
    Customer customer = authenticator.authenticate(request);
    WorkClass workClass = findWorkClass(customer, database, className);
    WorkRequest work = new WorkRequest(database, workClass, parseStatement(request));
    RequestContext caller = createContext(request, customer.name());
    long deadline = clock.millis() + workClass.waitLimitMillis();
    limiter.acquire(customer.name(), deadline);
    Optional<Claim> claim = claimUnlessRepeatable(caller, workClass, deadline);
    if (claim.flatMap(Claim::earlierAnswer).isPresent()) {
      return new Reply(200, claim.get().earlierAnswer().get(), null);
    }
    try {
      Reply reply = replies.result(statements.run(caller, work, deadline));
      claim.ifPresent(held -> held.complete(reply.body()));
      return reply;
    } catch (RefusalException e) {
      releaseIfNotRun(claim, e);
      throw e;
    }
  }

  private Reply beginTransaction(CallerRequest request, String database, String className)
      throws RefusalException {
    Customer customer = authenticator.authenticate(request);
    WorkClass workClass = findWorkClass(customer, database, className);
    RequestContext caller = createContext(request, customer.name());
    long deadline = clock.millis() + workClass.waitLimitMillis();
    limiter.acquire(customer.name(), deadline);
    Optional<Claim> claim = claimUnlessRepeatable(caller, workClass, deadline);
    if (claim.flatMap(Claim::earlierAnswer).isPresent()) {
      throw new RefusalException(
          ResultCode.REQUEST_ALREADY_CLAIMED, "The transaction of this request id has committed.");
    }
    try {
      WorkRequest work = new WorkRequest(database, workClass, NO_STATEMENT);
      return replies.transactionBegun(
          transactions.begin(caller, work, claim.orElse(null), deadline));
    } catch (RefusalException e) {
      releaseIfNotRun(claim, e);
      throw e;
    }
  }

  private Reply runStep(CallerRequest request, String transaction, String action)
      throws RefusalException {
    Customer customer = authenticator.authenticate(request);
    TransactionStep.Kind kind =
        switch (action) {
          case "statements" -> TransactionStep.Kind.STATEMENT;
          case "commit" -> TransactionStep.Kind.COMMIT;
          case "rollback" -> TransactionStep.Kind.ROLLBACK;
          default -> throw new RefusalException(ResultCode.NOT_FOUND);
        };
    boolean isStatement = kind == TransactionStep.Kind.STATEMENT;
    if (isStatement) {
      limiter.acquire(customer.name(), clock.millis() + MAX_STEP_WAIT_MILLIS);
    }
    StatementBody body = isStatement ? parseStatement(request) : NO_STATEMENT;
    TransactionStep step =
        new TransactionStep(
            transaction,
            kind,
            customer.name(),
            authenticator.decodeSession(request.sessionToken(), customer.name()),
            body,
            request.traceparent());
    String holder = TransactionRegistry.vmOf(transaction);
    if (!holder.equals(vm)) {
      return forwarder.forward(holder, step);
    }
    return handle(step);
  }

  private Reply runOpenRoute(CallerRequest request, String name) throws RefusalException {
    Configuration configuration = views.get().view().configuration();
    OpenRoute route = configuration.openRoutes().get(name);
    WorkClass workClass = route == null ? null : configuration.classes().get(route.workClass());
    if (route == null || workClass == null) {
      throw new RefusalException(ResultCode.NOT_FOUND);
    }
    String identity = OpenRoute.identity(name);
    WorkRequest work = new WorkRequest(route.database(), workClass, new StatementBody(route.statement(), null));
    long deadline = clock.millis() + workClass.waitLimitMillis();
    RequestContext caller = createContext(request, identity);
    limiter.acquire(identity, deadline);
    return replies.result(statements.run(caller, work, deadline));
  }

  private RequestContext createContext(CallerRequest request, String customer) throws RefusalException {
    return new RequestContext(
        customer,
        authenticator.decodeSession(request.sessionToken(), customer),
        request.requestId(),
        request.traceparent());
  }

  private WorkClass findWorkClass(Customer customer, String database, String className)
      throws RefusalException {
    Configuration configuration = views.get().view().configuration();
    WorkClass workClass = configuration.classes().get(className);
    if (workClass == null || !configuration.databases().containsKey(database)) {
      throw new RefusalException(ResultCode.NOT_FOUND);
    }
    if (!customer.databases().contains(database)) {
      throw new RefusalException(ResultCode.FORBIDDEN);
    }
    return workClass;
  }

  private static StatementBody parseStatement(CallerRequest request) throws RefusalException {
    StatementBody body;
    try {
      body = JSON.readValue(request.body().getBytes(), StatementBody.class);
    } catch (IOException e) {
      throw new RefusalException(ResultCode.BAD_REQUEST, "The body is not a JSON object.");
    }
    if (body == null || body.statement() == null || body.statement().isBlank()) {
      throw new RefusalException(ResultCode.BAD_REQUEST, "The body needs a statement.");
    }
    return body;
  }

  private Optional<Claim> claimUnlessRepeatable(RequestContext caller, WorkClass workClass, long deadline)
      throws RefusalException {
    if (workClass.repeatable()) {
      return Optional.empty();
    }
    @Nullable String requestId = caller.requestId();
    if (requestId == null) {
      throw new RefusalException(ResultCode.REQUEST_ID_REQUIRED);
    }
    return Optional.of(claims.claim(caller.customer(), requestId, deadline));
  }

  private static void releaseIfNotRun(Optional<Claim> claim, RefusalException e) {
    if (e.code().outcome() == Outcome.NOT_RUN) {
      claim.ifPresent(Claim::release);
    }
  }
}
