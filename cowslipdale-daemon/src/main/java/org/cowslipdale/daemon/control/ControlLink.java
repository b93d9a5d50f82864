package org.cowslipdale.daemon.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.cowslipdale.daemon.peer.PeerHandler;
import org.cowslipdale.daemon.peer.PeerMessage;
import org.cowslipdale.daemon.peer.PeerNetwork;
import org.jspecify.annotations.Nullable;

/**
 * Sends messages to VMs by name, to this one without the network, and finds the control leader.
 *
 * <p>This class is safe for use by several threads.
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

  /** Adds VMs that keep the control log to those that are tried when the leader is lost. */
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
      localHandler.handle(self, message, reply -> {});
    } else {
      network.send(vm, message);
    }
  }

  CompletableFuture<PeerMessage> request(String vm, PeerMessage message, long timeoutMillis) {
    if (!vm.equals(self)) {
      return network.request(vm, message, timeoutMillis);
    }
    CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
    localHandler.handle(self, message, answer::complete);
    return answer;
  }

  /** Returns the VM that is believed to be the control leader. */
  String assumedLeader() {
    return assumedLeader;
  }

  /** Takes in who leads. */
  void setLeader(String vm) {
    assumedLeader = vm;
  }

  /** Takes in a hint who leads; without one, the next voter is tried. */
  void selectNextLeader(String wrong, @Nullable String hint) {
    if (!assumedLeader.equals(wrong)) {
      return;
    }
    List<String> known = voters;
    if (hint != null && !hint.equals(wrong)) {
      assumedLeader = hint;
    } else if (!known.isEmpty()) {
      assumedLeader = known.get((known.indexOf(wrong) + 1) % known.size());
    }
  }
}
