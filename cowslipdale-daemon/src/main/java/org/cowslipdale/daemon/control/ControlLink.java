package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cowslipdale.daemon.peer.PeerHandler;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages to VMs by name and tracks which VM is assumed to be the control leader.
 *
 * <p>Messages to this VM bypass the network. This class is thread-safe.
 */
final class ControlLink {

  private final String self;
  private final PeerNetwork network;
  private volatile List<String> voters;
  private volatile PeerHandler localHandler = (from, message, reply) -> {};
  private volatile String assumedLeader;

  ControlLink(String self, PeerNetwork network, Set<String> voters) {
    this.self = requireNonNull(self, "self");
    this.network = requireNonNull(network, "network");
    List<String> sorted = new ArrayList<>(voters);
    sorted.sort(null);
    this.voters = List.copyOf(sorted);
    this.assumedLeader = sorted.contains(self) || sorted.isEmpty() ? self : sorted.getFirst();
  }

  /** Adds voters to those that are tried in turn while the control leader is not known. */
  void addVoters(Collection<String> names) {
    if (!voters.containsAll(names)) {
      Set<String> all = new TreeSet<>(voters);
      all.addAll(names);
      voters = List.copyOf(all);
    }
  }

  void setLocalHandler(PeerHandler handler) {
    localHandler = handler;
  }

  void send(String vm, PeerMessage message) {
    if (vm.equals(self)) {
      localHandler.handle(self, message, reply -> CompletableFuture.completedFuture(null));
    } else {
      network.send(vm, message);
    }
  }

  /**
   * Sends a message and returns its reply.
   *
   * @param timeoutMillis the time to wait for a reply, in milliseconds
   * @return a future completed with the reply, or exceptionally if none arrives in time
   */
  CompletableFuture<PeerMessage> request(String vm, PeerMessage message, long timeoutMillis) {
    if (!vm.equals(self)) {
      return network.request(vm, message, timeoutMillis);
    }
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    localHandler.handle(
        self,
        message,
        reply -> {
          answer.complete(reply);
          return CompletableFuture.completedFuture(null);
        });
    return answer.orTimeout(Math.max(1, timeoutMillis), TimeUnit.MILLISECONDS);
  }

  /** Returns the VM that is assumed to be the control leader; it may no longer lead. */
  String assumedLeader() {
    return assumedLeader;
  }

  /** Records which VM is the control leader. */
  void setLeader(String vm) {
    assumedLeader = vm;
  }

  /**
   * Assumes another control leader, unless that has already happened.
   *
   * @param failed the VM that does not lead or did not answer
   * @param hint the leader that this VM named; without it, the next voter is assumed
   */
  void selectNextLeader(String failed, @Nullable String hint) {
    if (!assumedLeader.equals(failed)) {
      return;
    }
    List<String> candidates = voters;
    if (hint != null && !hint.equals(failed)) {
      assumedLeader = hint;
    } else if (!candidates.isEmpty()) {
      assumedLeader = candidates.get((candidates.indexOf(failed) + 1) % candidates.size());
    }
  }
}
