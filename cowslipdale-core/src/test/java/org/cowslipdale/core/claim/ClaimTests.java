package org.cowslipdale.core.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ClaimTests {

  private static final long STARTED_AT = 1_000_000;
  private static final long AFTER_START = STARTED_AT + 60_000;

  @ParameterizedTest
  @ValueSource(
      strings = {"", "x", "0189", "c232ab00-9414-4ec8-b3c8-9f6bdeced846", "0190 not a uuid"})
  void rejectsIdsThatAreNotVersion7Uuids(String header) {
    assertThat(RequestId.parse(header), is(Optional.empty()));
  }

  @Test
  void grantsIdToOneAttemptPerCustomer() {
    ClaimTable table = new ClaimTable(STARTED_AT);
    RequestId id = id(AFTER_START);

    assertThat(table.claim("acme", id, "a", AFTER_START), instanceOf(ClaimReply.Granted.class));
    assertThat(table.claim("acme", id, "a", AFTER_START), instanceOf(ClaimReply.Granted.class));
    assertThat(table.claim("acme", id, "b", AFTER_START), instanceOf(ClaimReply.Taken.class));
    assertThat(table.claim("other", id, "b", AFTER_START), instanceOf(ClaimReply.Granted.class));
  }

  @Test
  void returnsAnswerOfCompletedAttempt() {
    ClaimTable table = new ClaimTable(STARTED_AT);
    RequestId id = id(AFTER_START);
    table.claim("acme", id, "a", AFTER_START);
    table.complete("acme", id.text(), "a", "answer");

    assertThat(table.claim("acme", id, "b", AFTER_START), is(new ClaimReply.Completed("answer")));
  }

  @Test
  void grantsIdAgainAfterRelease() {
    ClaimTable table = new ClaimTable(STARTED_AT);
    RequestId id = id(AFTER_START);
    table.claim("acme", id, "a", AFTER_START);
    table.release("acme", id.text(), "not the holder");
    assertThat(table.claim("acme", id, "b", AFTER_START), instanceOf(ClaimReply.Taken.class));

    table.release("acme", id.text(), "a");
    assertThat(table.claim("acme", id, "b", AFTER_START), instanceOf(ClaimReply.Granted.class));
  }

  @ParameterizedTest
  @ValueSource(longs = {STARTED_AT - 10_000, STARTED_AT, STARTED_AT + 1_000, AFTER_START + 1_001})
  void cannotTellForIdsFromBeforeStartOrFromFuture(long createdMillis) {
    ClaimTable table = new ClaimTable(STARTED_AT);

    assertThat(
        table.claim("acme", id(createdMillis), "a", AFTER_START),
        instanceOf(ClaimReply.CannotTell.class));
  }

  @Test
  void refusesIdsOfExpiredClaims() {
    ClaimTable table = new ClaimTable(STARTED_AT);
    RequestId id = id(AFTER_START);
    table.claim("acme", id, "a", AFTER_START);
    long afterRetention = AFTER_START + View.CLAIM_RETENTION_MILLIS + 2_000;

    table.expire(afterRetention);

    assertThat(table.size(), is(0));
    assertThat(
        table.claim("acme", id, "b", afterRetention), instanceOf(ClaimReply.CannotTell.class));
  }

  @Test
  void holdersOfIdDoNotChangeWithMembers() {
    View view = View.EMPTY;
    for (int i = 1; i <= 6; i++) {
      view = register(view, "vm" + i, "domain-" + i % 3, i == 1 ? STARTED_AT : STARTED_AT - 20_000);
    }
    RequestId id = id(AFTER_START);
    List<String> before = ClaimHolders.of(view, "acme", id);

    View changed = register(view, "vm7", "domain-0", AFTER_START);
    changed = changed.apply(new ViewCommand.RemoveVm("r", AFTER_START, before.getFirst())).view();

    assertThat(ClaimHolders.of(changed, "acme", id), is(before));
    assertThat(before.size(), is(3));
    assertThat(
        before.stream().map(view.vms()::get).map(VmRecord::failureDomain).toList(),
        containsInAnyOrder("domain-0", "domain-1", "domain-2"));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void grantsIdToAtMostOneAttemptUnderLossesAndRestarts(long seed) {
    Random random = new Random(seed);
    List<String> names = List.of("vm1", "vm2", "vm3");
    Map<String, ClaimTable> holders = new HashMap<>();
    names.forEach(name -> holders.put(name, new ClaimTable(STARTED_AT)));
    for (int round = 0; round < 500; round++) {
      long now = AFTER_START + round * 1_000L;
      RequestId id = id(now);
      int winners = 0;
      for (int attempt = 0; attempt < 4; attempt++) {
        ClaimVote vote = new ClaimVote(names.size());
        for (String name : names) {
          boolean lost = random.nextInt(4) == 0;
          vote.add(lost ? null : holders.get(name).claim("acme", id, "attempt" + attempt, now));
        }
        winners += vote.result() == ClaimVote.Result.GRANTED ? 1 : 0;
        if (random.nextInt(3) == 0) {
          holders.put(names.get(random.nextInt(3)), new ClaimTable(now));
        }
      }
      assertThat("winners of " + id, winners <= 1, is(true));
    }
  }

  private static View register(View view, String name, String domain, long atMillis) {
    VmRecord vm = new VmRecord(name, domain, "praha", "127.0.0.1:1", 0, 0, true);
    return view.apply(new ViewCommand.RegisterVm(vm, atMillis)).view();
  }

  private static RequestId id(long createdMillis) {
    long most = createdMillis << 16 | 0x7abcL;
    return RequestId.parse(new UUID(most, 0x8000000000000001L).toString()).orElseThrow();
  }
}
