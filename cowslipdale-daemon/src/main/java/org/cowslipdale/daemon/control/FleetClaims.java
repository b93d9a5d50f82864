package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.core.claim.ClaimHolders;
import org.cowslipdale.core.claim.ClaimReply;
import org.cowslipdale.core.claim.ClaimVote;
import org.cowslipdale.core.claim.RequestId;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.daemon.peer.PeerMessage.ClaimAnswer;
import org.cowslipdale.daemon.peer.PeerMessage.ClaimEnd;
import org.cowslipdale.daemon.peer.PeerMessage.ClaimRequest;
import org.cowslipdale.daemon.request.RequestClaims;
import org.cowslipdale.daemon.version.ViewHolder;
import org.cowslipdale.daemon.version.VmClock;
import org.jspecify.annotations.Nullable;

/** Claims request ids at a majority of the VMs that hold them. */
final class FleetClaims implements RequestClaims {

  private static final long ANSWER_TIMEOUT_MILLIS = 500;

  private final ControlLink link;
  private final ViewHolder views;
  private final VmClock clock;

  FleetClaims(ControlLink link, ViewHolder views, VmClock clock) {
    this.link = requireNonNull(link, "link");
    this.views = requireNonNull(views, "views");
    this.clock = requireNonNull(clock, "clock");
  }

  @Override
  public Claim claim(String customer, String requestId, long deadlineMillis)
      throws RefusalException {
    RequestId id =
        RequestId.parse(requestId)
            .orElseThrow(() -> new RefusalException(ResultCode.REQUEST_ID_REQUIRED));
    List<String> holders = ClaimHolders.of(views.get().view(), customer, id);
    HeldClaim claim = new HeldClaim(customer, id, holders);
    ClaimVote vote = collectVotes(claim, deadlineMillis);
    return switch (vote.result()) {
      case GRANTED -> claim;
      case COMPLETED -> {
        claim.release();
        yield new EarlierAnswer(String.valueOf(vote.answer()));
      }
      case TAKEN -> {
        claim.release();
        throw new RefusalException(ResultCode.REQUEST_ALREADY_CLAIMED);
      }
      case PENDING, UNAVAILABLE -> {
        claim.release();
        throw new RefusalException(ResultCode.REQUEST_CLAIM_UNAVAILABLE);
      }
    };
  }

  /** The reply of one holder; null if it did not answer. */
  private record HolderReply(@Nullable ClaimReply reply) {}

  private ClaimVote collectVotes(HeldClaim claim, long deadlineMillis) {
    BlockingQueue<HolderReply> replies = new LinkedBlockingQueue<>();
    ClaimRequest request = new ClaimRequest(claim.customer, claim.id.text(), claim.attempt);
    for (String holder : claim.holders) {
      link.request(holder, request, ANSWER_TIMEOUT_MILLIS)
          .whenComplete(
              (reply, failure) ->
                  replies.add(
                      new HolderReply(
                          reply instanceof ClaimAnswer answer ? answer.reply() : null)));
    }
    ClaimVote vote = new ClaimVote(claim.holders.size());
    long deadline = Math.min(deadlineMillis, clock.millis() + ANSWER_TIMEOUT_MILLIS + 100);
    while (vote.result() == ClaimVote.Result.PENDING) {
      HolderReply reply = nextReply(replies, deadline - clock.millis());
      if (reply == null) {
        return vote;
      }
      vote.add(reply.reply());
    }
    return vote;
  }

  private static @Nullable HolderReply nextReply(BlockingQueue<HolderReply> replies, long waitMillis) {
    try {
      return replies.poll(Math.max(0, waitMillis), TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  /** A claim that a majority of the holders granted. */
  private final class HeldClaim implements Claim {

    private final String customer;
    private final RequestId id;
    private final List<String> holders;
    private final String attempt = UUID.randomUUID().toString();

    HeldClaim(String customer, RequestId id, List<String> holders) {
      this.customer = customer;
      this.id = id;
      this.holders = new ArrayList<>(holders);
    }

    @Override
    public Optional<String> earlierAnswer() {
      return Optional.empty();
    }

    @Override
    public void release() {
      holders.forEach(
          holder -> link.send(holder, new ClaimEnd(customer, id.text(), attempt, null)));
    }

    @Override
    public void complete(String answer) {
      holders.forEach(
          holder -> link.send(holder, new ClaimEnd(customer, id.text(), attempt, answer)));
    }
  }

  /** The answer of an earlier attempt; there is nothing to run or to release. */
  private record EarlierAnswer(String answer) implements Claim {

    @Override
    public Optional<String> earlierAnswer() {
      return Optional.of(answer);
    }

    @Override
    public void release() {}

    @Override
    public void complete(String ignored) {}
  }
}
