package org.cowslipdale.testsupport.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.cowslipdale.testsupport.caller.AdminClient;
import org.cowslipdale.testsupport.caller.CallerReply;
import org.cowslipdale.testsupport.caller.CallerSession;
import org.cowslipdale.testsupport.fleet.Fleet;

/** The steps of the demonstration, each of which checks what it shows. */
final class Demo {

  /** The configuration that the demonstration applies. */
  static final String CONFIGURATION =
      """
      [database bonds]
      servers = 3

      [class subscriptions]
      kind = write
      repeatable = yes
      acknowledgement = replicated

      [class redemptions]
      kind = write
      acknowledgement = replicated

      [class holding-checks]
      kind = read
      freshness = bounded
      max-age = 5 s

      [class own-holdings]
      kind = read
      freshness = session

      [customer portal]
      rate = 200
      burst = 200
      databases = bonds

      [customer branches]
      rate = 50
      burst = 50
      databases = bonds

      [open-route issue-window]
      database = bonds
      class = holding-checks
      statement = get issue-window
      rate = 100
      burst = 100
      """;

  private static final String DATABASE = "bonds";

  private final Fleet fleet;
  private final HttpClient client = HttpClient.newHttpClient();
  private final List<StepResult> results = new ArrayList<>();
  private String key = "";

  /**
   * The result of a step.
   *
   * @param name what was done
   * @param ok whether it went as it must
   * @param shown what was seen
   */
  record StepResult(String name, boolean ok, String shown) {}

  /** A step of the demonstration. */
  private interface Step {

    String run() throws IOException, UnexpectedException;
  }

  /** A step that did not go as it must. */
  private static final class UnexpectedException extends Exception {

    UnexpectedException(String message) {
      super(message);
    }
  }

  Demo(Fleet fleet) {
    this.fleet = fleet;
  }

  List<StepResult> run() {
    step("configuration applied", this::applyConfiguration);
    step("first primary appointed", this::awaitFirstPrimary);
    step("key given to a customer", this::giveKey);
    step("write, acknowledged when replicated", this::write);
    step("roam: the session reads its write elsewhere", this::roam);
    step("read of a stated age from a replica", this::boundedRead);
    step("transaction, committed through another VM", this::transaction);
    step("redemption resent to another VM runs once", this::resend);
    step("open route needs no key", this::openRoute);
    step("wrong key refused", this::wrongKey);
    step("two operators with equal versions", this::racingOperators);
    step("key withdrawn everywhere", this::withdraw);
    step("primary killed, another one promoted", this::failover);
    step("acknowledged write survived", this::survived);
    return results;
  }

  /** Returns a key that works, for commands to try. */
  String key() {
    return key;
  }

  private void step(String name, Step step) {
    try {
      results.add(new StepResult(name, true, step.run()));
    } catch (IOException | UnexpectedException e) {
      results.add(new StepResult(name, false, String.valueOf(e.getMessage())));
    }
  }

  private String applyConfiguration() throws IOException, UnexpectedException {
    JsonNode result =
        operator(1).applyConfiguration(CONFIGURATION, 0, UUID.randomUUID().toString());
    require(result.path("code").asText().equals("OK"), result.toString());
    long millis = operator(1).awaitInForce(result.path("version").asLong(), "view");
    return "in force on 6 VMs after %d ms".formatted(millis);
  }

  private String awaitFirstPrimary() throws IOException {
    String primary = operator(2).awaitPrimary(DATABASE, "");
    return primary + " leads term 1";
  }

  private String giveKey() throws IOException {
    key = operator(3).addKey("portal");
    return "the VMs know only its salted digest";
  }

  private String write() throws UnexpectedException {
    CallerReply reply = session().run(callers(1), DATABASE, "subscriptions", "put saver-1 1000");
    require(reply.isSuccessful(), reply.toString());
    return "by %s in %d ms".formatted(reply.server(), reply.durationMillis());
  }

  private String roam() throws UnexpectedException {
    CallerSession session = session();
    for (int i = 0; i < 20; i++) {
      String value = Integer.toString(i);
      CallerReply write =
          session.run(callers(1), DATABASE, "subscriptions", "put saver-2 " + value);
      CallerReply read = session.run(callers(6), DATABASE, "own-holdings", "get saver-2");
      require(write.isSuccessful() && read.isSuccessful(), write + " " + read);
      require(read.result().equals(value), "stale: " + read);
    }
    return "20 writes on vm1, each seen at once on vm6";
  }

  private String boundedRead() throws UnexpectedException {
    int replicas = 0;
    for (int i = 0; i < 20; i++) {
      CallerReply read =
          session().run(callers(1 + i % 6), DATABASE, "holding-checks", "get saver-1");
      require(read.result().equals("1000"), read.toString());
      replicas += read.server().equals("bonds-1") ? 0 : 1;
    }
    return "%d of 20 reads served by replicas".formatted(replicas);
  }

  private String transaction() throws UnexpectedException {
    CallerSession session = session();
    CallerReply begun = session.beginTransaction(callers(1), DATABASE, "subscriptions");
    String id = begun.body().path("transaction").asText();
    CallerReply first = session.runInTransaction(callers(2), id, "put saver-3 10");
    CallerReply second = session.runInTransaction(callers(3), id, "add saver-3 5");
    CallerReply commit = session.endTransaction(callers(4), id, "commit");
    require(
        first.isSuccessful() && second.isSuccessful() && commit.isSuccessful(),
        first + " " + commit);
    CallerReply read = session.run(callers(5), DATABASE, "own-holdings", "get saver-3");
    require(read.result().equals("15"), read.toString());
    return "begun on vm1, statements through vm2 and vm3, commit through vm4";
  }

  private String resend() throws UnexpectedException {
    CallerSession session = session();
    String requestId = CallerSession.newRequestId();
    CallerReply first = redeem(session, 1, requestId);
    CallerReply again = redeem(session, 6, requestId);
    require(first.isSuccessful() && again.isSuccessful(), first + " " + again);
    CallerReply read = session.run(callers(2), DATABASE, "own-holdings", "get saver-1");
    require(read.result().equals("900"), read.toString());
    return "balance 1000 - 100 = 900; the resend got the first answer";
  }

  /** Redeems; the claim holders of a new fleet may need a moment until they can tell. */
  private CallerReply redeem(CallerSession session, int vm, String requestId)
      throws UnexpectedException {
    return session.run(callers(vm), DATABASE, "redemptions", "add saver-1 -100", requestId);
  }

  private String openRoute() throws UnexpectedException {
    session().run(callers(1), DATABASE, "subscriptions", "put issue-window open");
    CallerReply read = new CallerSession(client, null).readOpenRoute(callers(4), "issue-window");
    require(read.isSuccessful(), read.toString());
    return "answered without a key";
  }

  private String wrongKey() throws UnexpectedException {
    CallerReply reply =
        new CallerSession(client, key + "x")
            .run(callers(2), DATABASE, "own-holdings", "get saver-1");
    require(reply.status() == 401 && reply.outcome().equals("NOT_RUN"), reply.toString());
    return "401, code %d, not run".formatted(reply.resultCode());
  }

  private String racingOperators() throws IOException, UnexpectedException {
    String id = UUID.randomUUID().toString();
    JsonNode first = operator(1).applyConfiguration(CONFIGURATION.replace("50", "60"), 1, id);
    JsonNode second =
        operator(6)
            .applyConfiguration(CONFIGURATION.replace("50", "70"), 1, UUID.randomUUID().toString());
    JsonNode resent = operator(2).applyConfiguration(CONFIGURATION.replace("50", "60"), 1, id);
    require(first.path("code").asText().equals("OK"), first.toString());
    require(second.path("name").asText().equals("VERSION_CONFLICT"), second.toString());
    require(resent.equals(first), resent.toString());
    return "one won, the other was told; a resend got the first answer again";
  }

  private String withdraw() throws IOException, UnexpectedException {
    String withdrawn = operator(1).addKey("portal");
    CallerSession session = new CallerSession(client, withdrawn);
    require(session.run(callers(6), DATABASE, "own-holdings", "get saver-1").isSuccessful(), "no");
    long started = System.nanoTime();
    JsonNode result = operator(1).withdrawKey(withdrawn);
    operator(1).awaitInForce(result.path("version").asLong(), "keys");
    long millis = (System.nanoTime() - started) / 1_000_000;
    for (int vm = 1; vm <= 6; vm++) {
      CallerReply reply = session.run(callers(vm), DATABASE, "own-holdings", "get saver-1");
      require(reply.status() == 401, reply.toString());
    }
    return "refused by all 6 VMs, on open connections too, after %d ms".formatted(millis);
  }

  private String failover() throws IOException, UnexpectedException {
    CallerSession session = session();
    CallerReply before = session.run(callers(2), DATABASE, "subscriptions", "put saver-4 7");
    require(before.isSuccessful(), before.toString());
    String old = operator(1).primary(DATABASE);
    fleet.server(old).process().kill();
    long started = System.nanoTime();
    CallerReply reply = session.run(callers(2), DATABASE, "subscriptions", "put saver-5 8");
    while (!reply.isSuccessful()) {
      long millis = (System.nanoTime() - started) / 1_000_000;
      require(millis < 8_000, "no write for 8 s: " + reply);
      reply = session.run(callers(2), DATABASE, "subscriptions", "put saver-5 8");
    }
    long millis = (System.nanoTime() - started) / 1_000_000;
    fleet.server(old).process().start();
    return "%s killed, %s writes after %d ms".formatted(old, reply.server(), millis);
  }

  private String survived() throws UnexpectedException {
    CallerReply read = session().run(callers(3), DATABASE, "own-holdings", "get saver-4");
    require(read.result().equals("7"), read.toString());
    return "the write acknowledged before the kill is still there";
  }

  private CallerSession session() {
    return new CallerSession(client, key);
  }

  private AdminClient operator(int vm) {
    return new AdminClient(client, fleet.vm("vm" + vm).admin(), Fleet.ADMIN_TOKEN);
  }

  private String callers(int vm) {
    return fleet.vm("vm" + vm).callers();
  }

  private static void require(boolean condition, String otherwise) throws UnexpectedException {
    if (!condition) {
      throw new UnexpectedException(otherwise);
    }
  }
}
