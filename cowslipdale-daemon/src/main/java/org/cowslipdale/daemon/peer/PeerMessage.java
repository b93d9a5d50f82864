package org.cowslipdale.daemon.peer;

import com.fasterxml.jackson.annotation.JsonTypeName;
import java.io.IOException;
import java.util.List;
import org.cowslipdale.core.backend.Announcement;
import org.cowslipdale.core.claim.ClaimReply;
import org.cowslipdale.core.consensus.ConsensusMessage;
import org.cowslipdale.core.control.ChangeRecord;
import org.cowslipdale.core.failover.PrimaryTerm;
import org.cowslipdale.core.gateway.GatewayReply;
import org.cowslipdale.core.gateway.GatewayRequest;
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

/**
 * A message between two VMs.
 *
 * <p>A message is encoded under its simple class name, or under its {@link JsonTypeName} if it has
 * one, with its components in the order of their declaration.
 */
public sealed interface PeerMessage {

  /**
   * Authenticates the sender; the first message on each connection.
   *
   * @param vm the name of the sender
   * @param proof the proof that the sender knows the cluster secret; empty without a secret
   */
  record Hello(String vm, String proof) implements PeerMessage {}

  /**
   * Carries a consensus message of the control log.
   *
   * @param message the message
   */
  record Consensus(ConsensusMessage message) implements PeerMessage {}

  /**
   * Requests a lease on the view from the control leader, or releases it.
   *
   * @param version the version of the view that the VM uses
   * @param unreachablePrimaries the primaries that the VM cannot reach
   * @param reachablePrimaries the primaries that answered the VM recently
   * @param sentMillis when the request was sent, in milliseconds of the VM's monotonic clock
   * @param release whether the VM releases its lease because it stops
   * @param positions the log positions that primaries reported to the VM; null on a release
   * @param permits the permits that the VM holds for connections to servers; null on a release or
   *     if the VM has connections without a permit
   * @param acceptsEncodedUpdate whether the VM reads {@code encodedUpdate} of the reply; false if
   *     the sender does not know it
   */
  record LeaseRequest(
      long version,
      List<PrimaryTerm> unreachablePrimaries,
      List<PrimaryTerm> reachablePrimaries,
      long sentMillis,
      boolean release,
      @Nullable PositionReport positions,
      @Nullable PermitReport permits,
      boolean acceptsEncodedUpdate)
      implements PeerMessage {}

  /**
   * Answers a request for a lease.
   *
   * @param granted whether the lease is granted
   * @param leader the control leader known to the sender, if any
   * @param registered whether the VM is registered in the view
   * @param fromVersion the version of the view to which {@code commands} apply
   * @param commands the commands accepted after that version
   * @param view the whole view, if the commands are no longer retained
   * @param requestSentMillis the {@code sentMillis} of the request
   * @param voters the names of the voters of the control log
   * @param callerVms the number of VMs that share the connections to servers; 0 if the sender is
   *     not the control leader
   * @param positions the newest log positions of primaries known to the leader; null if the sender
   *     is not the leader or the VM does not serve callers
   * @param encodedUpdate the encoded update of the view, which takes the place of {@code commands}
   *     and {@code view}; null if they hold the update
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
      @Nullable PositionUpdate positions,
      @Nullable EncodedViewUpdate encodedUpdate)
      implements PeerMessage {

    /**
     * Returns the update of the view.
     *
     * @throws IOException if it cannot be read
     */
    public ViewUpdate update() throws IOException {
      return encodedUpdate == null
          ? new ViewUpdate(fromVersion, commands, view)
          : encodedUpdate.decode();
    }
  }

  /**
   * Notifies a VM that a newer version of the view exists. The encoded name of the message is
   * {@code ViewNews}.
   *
   * @param version the version
   */
  @JsonTypeName("ViewNews")
  record ViewChanged(long version) implements PeerMessage {}

  /**
   * Requests that the control leader registers the sender in the view.
   *
   * @param vm the record to register
   */
  record Registration(VmRecord vm) implements PeerMessage {}

  /**
   * Relays announcements of backend servers to another VM.
   *
   * @param items the relayed announcements
   */
  record Announcements(List<RelayedAnnouncement> items) implements PeerMessage {}

  /**
   * An announcement that another VM received.
   *
   * @param announcement the announcement
   * @param ageMillis how long ago the announcement was received, in milliseconds
   */
  record RelayedAnnouncement(Announcement announcement, long ageMillis) {}

  /**
   * Requests tokens of a customer from the control leader, or returns some.
   *
   * @param customer the name of the customer
   * @param demand the tokens that the VM has, requests and returns
   */
  record TokenRequest(String customer, TokenDemand demand) implements PeerMessage {}

  /**
   * Answers a request for tokens.
   *
   * @param grant the tokens issued, or null if the sender is not the control leader or the customer
   *     has no rate limit
   */
  record TokenReply(TokenIssuer.@Nullable Grant grant) implements PeerMessage {}

  /**
   * Requests a permit to open a connection to a server from the control leader.
   *
   * @param demand the demand for the permit
   */
  record PermitRequest(PermitDemand demand) implements PeerMessage {}

  /**
   * Answers a request for a permit.
   *
   * @param granted whether the permit is granted
   */
  record PermitReply(boolean granted) implements PeerMessage {}

  /**
   * Requests that a VM releases the permits of a server that it does not need.
   *
   * @param server the name of the server
   */
  record PermitRecall(String server) implements PeerMessage {}

  /**
   * Reports the permits that a VM still holds to the control leader, so that it can grant the
   * released permits to other VMs.
   *
   * @param report the permits that the VM holds
   */
  record PermitReturn(PermitReport report) implements PeerMessage {}

  /**
   * Claims a request id at one of its claim holders.
   *
   * @param customer the name of the customer
   * @param requestId the request id
   * @param attempt the unique id of the attempt
   */
  record ClaimRequest(String customer, String requestId, String attempt) implements PeerMessage {}

  /**
   * Answers a claim.
   *
   * @param reply the reply of the claim holder
   */
  record ClaimAnswer(ClaimReply reply) implements PeerMessage {}

  /**
   * Ends an attempt to which the claim holder granted a claim.
   *
   * @param customer the name of the customer
   * @param requestId the request id
   * @param attempt the unique id of the attempt
   * @param answer the answer to record; null if the attempt did not run
   */
  record ClaimEnd(String customer, String requestId, String attempt, @Nullable String answer)
      implements PeerMessage {}

  /**
   * Forwards a step of a transaction to the VM that holds the transaction.
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
   * Requests that the control leader appends a change to the control log.
   *
   * @param command the command that makes the change
   */
  record ChangeRequest(ViewCommand command) implements PeerMessage {}

  /**
   * Answers a request for a change.
   *
   * @param result the result of the change, or null if it is not known
   * @param failure why the result is not known, or null if it is known
   */
  record ChangeReply(@Nullable ChangeRecord result, @Nullable ResultCode failure)
      implements PeerMessage {}

  /**
   * Requests the state of the fleet from the control leader.
   *
   * @param version the version of the view for which {@link FleetReply#waitingFor} is requested
   * @param graceMillis the time after the end of its lease during which a VM may still act on the
   *     changed part of the view, in milliseconds
   * @param includeHistory whether the reply includes the results of recent changes
   */
  record FleetQuery(long version, long graceMillis, boolean includeHistory)
      implements PeerMessage {}

  /** Requests the newest configuration document from the control leader. */
  record DocumentQuery() implements PeerMessage {}

  /**
   * Answers a query for the newest configuration document.
   *
   * @param document the document, or null if the sender cannot rule out a newer one
   */
  record DocumentReply(@Nullable DeclaredDocument document) implements PeerMessage {}

  /**
   * Answers a query for the state of the fleet.
   *
   * @param leader the control leader, or null if the sender is not the leader
   * @param term the term of the control log
   * @param version the newest version of the view
   * @param waitingFor the VMs that may still act on a version older than the requested one
   * @param leaseHolders the VMs that may hold a lease
   * @param history the results of recent changes, oldest first; empty unless requested
   */
  record FleetReply(
      @Nullable String leader,
      long term,
      long version,
      List<String> waitingFor,
      List<String> leaseHolders,
      List<ChangeRecord> history)
      implements PeerMessage {}

  /**
   * Carries a request to the gateway that holds connections to servers for the sender.
   *
   * @param request the request
   */
  record GatewayCall(GatewayRequest request) implements PeerMessage {}

  /**
   * Answers a request to a gateway.
   *
   * @param reply the reply
   */
  record GatewayAnswer(GatewayReply reply) implements PeerMessage {}
}
