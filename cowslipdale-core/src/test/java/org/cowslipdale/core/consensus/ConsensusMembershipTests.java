package org.cowslipdale.core.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;

import java.util.Set;
import org.cowslipdale.core.consensus.FakeVoters.Member;
import org.cowslipdale.core.view.ViewCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests members that join the control log without being listed, and voters that vanish. */
class ConsensusMembershipTests {

  /** After this time a replacement must count, in milliseconds. */
  private static final long REPLACEMENT_LIMIT_MILLIS = 4_000;

  private static final long ELECTION_LIMIT_MILLIS = 10_000;
  private static final Set<String> SEEDS = Set.of("a", "b", "c");

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void newMemberReplacesFailedVoter(long seed) {
    FakeVoters voters = new FakeVoters(seed, "a", "b", "c");
    voters.awaitLeader(ELECTION_LIMIT_MILLIS);
    voters.crash("c");
    voters.run(1_000);
    voters.join("d", "new", SEEDS);
    voters.run(REPLACEMENT_LIMIT_MILLIS);
    Member leader = voters.awaitLeader(ELECTION_LIMIT_MILLIS);
    assertThat(leader, notNullValue());
    assertThat(leader.node.voters().names(), containsInAnyOrder("a", "b", "d"));

    voters.crash("a");

    Member next = voters.awaitLeader(ELECTION_LIMIT_MILLIS);
    assertThat(next, notNullValue());
    long before = next.node.commitIndex();
    voters.propose(next, new ViewCommand.BeginTerm("bonds", 1));
    voters.run(500);
    assertThat(next.node.commitIndex(), greaterThan(before));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void allMembersBecomeVotersWhenOnlySomeAreSeeds(long seed) {
    FakeVoters voters = new FakeVoters(seed, "a", "b", "c");
    voters.join("d", "d1", SEEDS);
    voters.join("e", "e1", SEEDS);
    voters.join("f", "f1", SEEDS);

    voters.run(8_000);

    Member leader = voters.awaitLeader(ELECTION_LIMIT_MILLIS);
    assertThat(leader, notNullValue());
    assertThat(leader.node.voters().names(), containsInAnyOrder("a", "b", "c", "d", "e", "f"));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void followerForwardsJoinRequestToLeader(long seed) {
    FakeVoters voters = new FakeVoters(seed, "a", "b", "c");
    Member leader = voters.awaitLeader(ELECTION_LIMIT_MILLIS);
    assertThat(leader, notNullValue());
    String follower = leader.name.equals("a") ? "b" : "a";

    voters.join("d", "d1", Set.of(follower));
    voters.run(3_000);

    assertThat(voters.awaitLeader(1).node.voters().names(), hasItem("d"));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void retainsThreeVotersWhenOneIsUnresponsive(long seed) {
    FakeVoters voters = new FakeVoters(seed, "a", "b", "c");
    Member leader = voters.awaitLeader(ELECTION_LIMIT_MILLIS);
    assertThat(leader, notNullValue());
    String follower = leader.name.equals("a") ? "b" : "a";

    voters.crash(follower);
    voters.run(10_000);

    assertThat(leader.node.voters().names().size(), is(3));
    assertThat(leader.node.voters().names(), not(hasItem("d")));
  }
}
