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

/** The steps of the demonstration. Each step checks its result. */
final class DemoScenario {

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
   * @param name the name of the step
   * @param ok whether the step succeeded
   * @param detail what the step observed; the message of the failure if it failed
   */
  record StepResult(String name, boolean ok, String detail) {}

  /** A step of the demonstration; returns what it observed. */
  private interface Step {

    String run() throws IOException, StepFailedException;
  }

  /** Thrown when a step observes an unexpected result. */
  private static final class StepFailedException extends Exception {

    StepFailedException(String message) {
      super(message);
    }
  }

  DemoScenario(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Runs all steps, also after a step has failed, and returns their results. */
  List<StepResult> run() {
    step("configuration applied", this::applyConfiguration);
    step("first primary promoted", this::awaitFirstPrimary);
    step("key added for a customer", this::addKey);
    step("write, acknowledged when replicated", this::writeReplicated);
    step("session reads its writes on another VM", this::readOwnWritesElsewhere);
    step("read of bounded age from a replica", this::readWithBoundedAge);
    step("transaction, committed through another VM", this::commitThroughAnotherVm);
    step("write resent to another VM runs once", this::resendRequest);
    step("open route needs no key", this::readOpenRoute);
    step("wrong key rejected", this::rejectWrongKey);
    step("conflicting configuration change rejected", this::rejectConflictingChange);
    step("key withdrawn on all VMs", this::withdrawKey);
    step("primary killed, replica promoted", this::killPrimary);
    step("acknowledged write read after the failover", this::readAfterFailover);
    return results;
  }

  /** Returns a valid key of a customer; empty if the step that adds it failed. */
  String key() {
    return key;
  }

  private void step(String name, Step step) {
    try {
      results.add(new StepResult(name, true, step.run()));
    } catch (IOException | StepFailedException e) {
      results.add(new StepResult(name, false, String.valueOf(e.getMessage())));
    }
  }

  private String applyConfiguration() throws IOException, StepFailedException {
    JsonNode result =
        adminClient(1).applyConfiguration(CONFIGURATION, 0, UUID.randomUUID().toString());
    require(result.path("code").asText().equals("OK"), result.toString());
    long millis = adminClient(1).awaitInForce(result.path("version").asLong(), "view");
    return "in force on 6 VMs after %d ms".formatted(millis);
  }

  private String awaitFirstPrimary() throws IOException {
    String primary = adminClient(2).awaitPrimary(DATABASE, "");
    return primary + " is the primary of term 1";
  }

  private String addKey() throws IOException {
    key = adminClient(3).addKey("portal");
    return "the VMs store only its salted digest";
  }

  private String writeReplicated() throws StepFailedException {
    CallerReply reply =
        newSession().run(callerAddress(1), DATABASE, "subscriptions", "put saver-1 1000");
    require(reply.isSuccessful(), reply.toString());
    return "by %s in %d ms".formatted(reply.server(), reply.durationMillis());
  }

  private String readOwnWritesElsewhere() throws StepFailedException {
    CallerSession session = newSession();
    for (int i = 0; i < 20; i++) {
      String value = Integer.toString(i);
      CallerReply write =
          session.run(callerAddress(1), DATABASE, "subscriptions", "put saver-2 " + value);
      CallerReply read = session.run(callerAddress(6), DATABASE, "own-holdings", "get saver-2");
      require(write.isSuccessful() && read.isSuccessful(), write + " " + read);
      require(read.result().equals(value), "stale: " + read);
    }
    return "20 writes on vm1, each read back on vm6 at once";
  }

  private String readWithBoundedAge() throws StepFailedException {
    int replicas = 0;
    for (int i = 0; i < 20; i++) {
      CallerReply read =
          newSession().run(callerAddress(1 + i % 6), DATABASE, "holding-checks", "get saver-1");
      require(read.result().equals("1000"), read.toString());
      replicas += read.server().equals("bonds-1") ? 0 : 1;
    }
    return "%d of 20 reads served by replicas".formatted(replicas);
  }

  private String commitThroughAnotherVm() throws StepFailedException {
    CallerSession session = newSession();
    CallerReply begun = session.beginTransaction(callerAddress(1), DATABASE, "subscriptions");
    String id = begun.body().path("transaction").asText();
    CallerReply first = session.runInTransaction(callerAddress(2), id, "put saver-3 10");
    CallerReply second = session.runInTransaction(callerAddress(3), id, "add saver-3 5");
    CallerReply commit = session.endTransaction(callerAddress(4), id, "commit");
    require(
        first.isSuccessful() && second.isSuccessful() && commit.isSuccessful(),
        first + " " + commit);
    CallerReply read = session.run(callerAddress(5), DATABASE, "own-holdings", "get saver-3");
    require(read.result().equals("15"), read.toString());
    return "begun on vm1, statements through vm2 and vm3, commit through vm4";
  }

  private String resendRequest() throws StepFailedException {
    CallerSession session = newSession();
    String requestId = CallerSession.newRequestId();
    CallerReply first = redeem(session, 1, requestId);
    CallerReply again = redeem(session, 6, requestId);
    require(first.isSuccessful() && again.isSuccessful(), first + " " + again);
    CallerReply read = session.run(callerAddress(2), DATABASE, "own-holdings", "get saver-1");
    require(read.result().equals("900"), read.toString());
    return "balance 1000 - 100 = 900; the statement ran once";
  }

  /**
   * Subtracts 100 from a balance, which must not run twice. The claim holders of a newly started
   * fleet may not be able to grant a claim yet.
   */
  private CallerReply redeem(CallerSession session, int vm, String requestId)
      throws StepFailedException {
    return session.run(callerAddress(vm), DATABASE, "redemptions", "add saver-1 -100", requestId);
  }

  private String readOpenRoute() throws StepFailedException {
    newSession().run(callerAddress(1), DATABASE, "subscriptions", "put issue-window open");
    CallerReply read =
        new CallerSession(client, null).readOpenRoute(callerAddress(4), "issue-window");
    require(read.isSuccessful(), read.toString());
    return "answered without a key";
  }

  private String rejectWrongKey() throws StepFailedException {
    CallerReply reply =
        new CallerSession(client, key + "x")
            .run(callerAddress(2), DATABASE, "own-holdings", "get saver-1");
    require(reply.status() == 401 && reply.outcome().equals("NOT_RUN"), reply.toString());
    return "401, code %d, not run".formatted(reply.resultCode());
  }

  private String rejectConflictingChange() throws IOException, StepFailedException {
    String id = UUID.randomUUID().toString();
    JsonNode first = adminClient(1).applyConfiguration(CONFIGURATION.replace("50", "60"), 1, id);
    JsonNode second =
        adminClient(6)
            .applyConfiguration(CONFIGURATION.replace("50", "70"), 1, UUID.randomUUID().toString());
    JsonNode resent = adminClient(2).applyConfiguration(CONFIGURATION.replace("50", "60"), 1, id);
    require(first.path("code").asText().equals("OK"), first.toString());
    require(second.path("name").asText().equals("VERSION_CONFLICT"), second.toString());
    require(resent.equals(first), resent.toString());
    return "one change applied, the other rejected; a resend got the first answer again";
  }

  private String withdrawKey() throws IOException, StepFailedException {
    String withdrawn = adminClient(1).addKey("portal");
    CallerSession session = new CallerSession(client, withdrawn);
    require(
        session.run(callerAddress(6), DATABASE, "own-holdings", "get saver-1").isSuccessful(),
        "the new key does not work");
    long started = System.nanoTime();
    JsonNode result = adminClient(1).withdrawKey(withdrawn);
    adminClient(1).awaitInForce(result.path("version").asLong(), "keys");
    long millis = (System.nanoTime() - started) / 1_000_000;
    for (int vm = 1; vm <= 6; vm++) {
      CallerReply reply = session.run(callerAddress(vm), DATABASE, "own-holdings", "get saver-1");
      require(reply.status() == 401, reply.toString());
    }
    return "rejected by all 6 VMs, also on open connections, after %d ms".formatted(millis);
  }

  private String killPrimary() throws IOException, StepFailedException {
    CallerSession session = newSession();
    CallerReply before = session.run(callerAddress(2), DATABASE, "subscriptions", "put saver-4 7");
    require(before.isSuccessful(), before.toString());
    String previous = adminClient(1).primary(DATABASE);
    fleet.server(previous).process().kill();
    long started = System.nanoTime();
    CallerReply reply = session.run(callerAddress(2), DATABASE, "subscriptions", "put saver-5 8");
    while (!reply.isSuccessful()) {
      long millis = (System.nanoTime() - started) / 1_000_000;
      require(millis < 8_000, "no successful write within 8 s: " + reply);
      reply = session.run(callerAddress(2), DATABASE, "subscriptions", "put saver-5 8");
    }
    long millis = (System.nanoTime() - started) / 1_000_000;
    fleet.server(previous).process().start();
    return "%s killed, first write by %s after %d ms".formatted(previous, reply.server(), millis);
  }

  private String readAfterFailover() throws StepFailedException {
    CallerReply read = newSession().run(callerAddress(3), DATABASE, "own-holdings", "get saver-4");
    require(read.result().equals("7"), read.toString());
    return "the write acknowledged before the failover is present";
  }

  private CallerSession newSession() {
    return new CallerSession(client, key);
  }

  private AdminClient adminClient(int vm) {
    return new AdminClient(client, fleet.vm("vm" + vm).adminAddress(), Fleet.ADMIN_TOKEN);
  }

  private String callerAddress(int vm) {
    return fleet.vm("vm" + vm).callerAddress();
  }

  private static void require(boolean condition, String failure) throws StepFailedException {
    if (!condition) {
      throw new StepFailedException(failure);
    }
  }
}
