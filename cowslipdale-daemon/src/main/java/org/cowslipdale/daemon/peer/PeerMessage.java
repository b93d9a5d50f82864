package org.cowslipdale.daemon.peer;

import java.util.List;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.claim.ClaimReply;
import org.cowslipdale.core.consensus.ConsensusMessage;
import org.cowslipdale.core.control.ChangeRecord;
import org.cowslipdale.core.failover.PrimaryTerm;
import org.cowslipdale.core.permit.PermitDemand;
import org.cowslipdale.core.permit.PermitReport;
import org.cowslipdale.core.quota.TokenDemand;
import org.cowslipdale.core.quota.TokenIssuer;
import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.routing.PositionReport;
import org.cowslipdale.core.routing.PositionUpdate;
import org.cowslipdale.core.view.DeclaredDocument;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;
import org.cowslipdale.core.view.VmRecord;
import org.jspecify.annotations.Nullable;

/** A message between two VMs. */
public sealed interface PeerMessage {

  /**
   * Opens a connection.
   *
   * @param vm the name of the sender
   * @param proof proves that the sender knows the cluster secret
   */
  record Hello(String vm, String proof) implements PeerMessage {}

  /**
   * Carries a message of the control log.
   *
   * @param message the message
   */
  record Consensus(ConsensusMessage message) implements PeerMessage {}

  /**
   * Asks the control leader for a lease on the view.
   *
   * @param version the version of the view on which the VM acts
   * @param unreachablePrimaries the primaries that the VM cannot reach
   * @param reachablePrimaries the primaries that answered the VM a moment ago
   * @param sentMillis when it was sent, on the VM's monotonic clock
   * @param release whether the VM gives its lease back because it stops
   * @param positions the positions that primaries stated to the VM
   * @param permits the connections to servers that the VM may have; null if it has others, too
   */
  record LeaseRequest(
      long version,
      List<PrimaryTerm> unreachablePrimaries,
      List<PrimaryTerm> reachablePrimaries,
      long sentMillis,
      boolean release,
      @Nullable PositionReport positions,
      @Nullable PermitReport permits)
      implements PeerMessage {}

  /**
   * Answers a request for a lease.
   *
   * @param granted whether the lease is granted
   * @param leader the control leader that the sender knows, if any
   * @param registered whether the VM is registered in the view
   * @param fromVersion the version to which {@code commands} apply
   * @param commands the accepted commands after that version
   * @param view the whole view, if the commands are not kept any more
   * @param requestSentMillis the send time of the request, repeated
   * @param voters the names of the VMs that keep the control log
   * @param callerVms how many VMs share the connections of servers
   * @param positions the newest positions of primaries that the leader knows
   */
  record LeaseReply(
      boolean granted,
      @Nullable String leader,
      boolean registered,
      long fromVersion,
      List<ViewCommand> commands,
      @Nullable View view,
      long requestSentMillis,
      List<String> voters,
      int callerVms,
      @Nullable PositionUpdate positions)
      implements PeerMessage {}

  /**
   * Tells a VM that a newer version of the view exists.
   *
   * @param version the version
   */
  record ViewChanged(long version) implements PeerMessage {}

  /**
   * Asks the control leader to register the sender.
   *
   * @param vm the record of the sender
   */
  record Registration(VmRecord vm) implements PeerMessage {}

  /**
   * Passes announcements of backend servers on.
   *
   * @param items the announcements
   */
  record Announcements(List<RelayedAnnouncement> items) implements PeerMessage {}

  /**
   * An announcement that another VM received.
   *
   * @param announcement the announcement
   * @param ageMillis how long ago it was received, in milliseconds
   */
  record RelayedAnnouncement(Announcement announcement, long ageMillis) {}

  /**
   * Asks the control leader for tokens of a customer, or gives some back.
   *
   * @param customer the customer
   * @param demand what the VM has and wants
   */
  record TokenRequest(String customer, TokenDemand demand) implements PeerMessage {}

  /**
   * Answers a request for tokens.
   *
   * @param grant the tokens issued, or null if the VM does not lead
   */
  record TokenReply(TokenIssuer.@Nullable Grant grant) implements PeerMessage {}

  /**
   * Asks the control leader for a permit to open a connection to a server.
   *
   * @param demand what is asked for
   */
  record PermitRequest(PermitDemand demand) implements PeerMessage {}

  /**
   * Answers a request for a permit.
   *
   * @param granted whether the permit is lent
   */
  record PermitReply(boolean granted) implements PeerMessage {}

  /**
   * Asks a VM to give permits of a server back that it can do without.
   *
   * @param server the name of the server
   */
  record PermitRecall(String server) implements PeerMessage {}

  /**
   * Tells the control leader which permits a VM still holds.
   *
   * @param report what it holds
   */
  record PermitReturn(PermitReport report) implements PeerMessage {}

  /**
   * Claims a request id.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param attempt a number that is unique to the attempt
   */
  record ClaimRequest(String customer, String requestId, String attempt) implements PeerMessage {}

  /**
   * Answers a claim.
   *
   * @param reply the holder's reply
   */
  record ClaimAnswer(ClaimReply reply) implements PeerMessage {}

  /**
   * Ends an attempt that holds claims.
   *
   * @param customer the customer
   * @param requestId the request id
   * @param attempt the attempt
   * @param answer the answer to record; null if the attempt did not run
   */
  record ClaimEnd(String customer, String requestId, String attempt, @Nullable String answer)
      implements PeerMessage {}

  /**
   * Carries a step of a transaction to the VM that holds it.
   *
   * @param step the step, as JSON
   */
  record ForwardRequest(String step) implements PeerMessage {}

  /**
   * Answers a forwarded step.
   *
   * @param status the HTTP status
   * @param body the JSON body
   * @param sessionToken the new session token, if it is known
   */
  record ForwardReply(int status, String body, @Nullable String sessionToken)
      implements PeerMessage {}

  /**
   * Asks the control leader to append a change.
   *
   * @param command the change
   */
  record ChangeRequest(ViewCommand command) implements PeerMessage {}

  /**
   * Answers a change.
   *
   * @param result the result, if the change was decided
   * @param failure why it was not decided
   */
  record ChangeReply(@Nullable ChangeRecord result, @Nullable ResultCode failure)
      implements PeerMessage {}

  /**
   * Asks the control leader for the state of the fleet.
   *
   * @param version the version of the view that is asked about
   * @param graceMillis how long after its lease a VM may act on the matter, in milliseconds
   * @param includeHistory whether the results of recent changes are wanted
   */
  record FleetQuery(long version, long graceMillis, boolean includeHistory) implements PeerMessage {}

  /** Asks the control leader for the newest configuration document. */
  record DocumentQuery() implements PeerMessage {}

  /**
   * Answers a query for the newest configuration document.
   *
   * @param document the document, or null if the sender cannot be sure that none is newer
   */
  record DocumentReply(@Nullable DeclaredDocument document) implements PeerMessage {}

  /**
   * Answers a query for the state of the fleet.
   *
   * @param leader the control leader, or null if none answers
   * @param term the term of the control log
   * @param version the latest version of the view
   * @param waitingFor the VMs in which the version asked about is not in force
   * @param leaseHolders the VMs that may hold a lease
   * @param history the results of recent changes, oldest first
   */
  record FleetReply(
      @Nullable String leader,
      long term,
      long version,
      List<String> waitingFor,
      List<String> leaseHolders,
      List<ChangeRecord> history)
      implements PeerMessage {}
}
