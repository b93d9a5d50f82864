package org.cowslipdale.core.gateway;

import org.cowslipdale.core.result.ResultCode;
import org.cowslipdale.core.statement.ServerFailure;
import org.cowslipdale.core.statement.ServerReply;
import org.jspecify.annotations.Nullable;

/** The reply of a gateway to a {@link GatewayRequest}. */
public sealed interface GatewayReply {

  /** The handle has a connection with the requested state. */
  record Acquired() implements GatewayReply {}

  /** The request is in progress; its result can be requested with {@link GatewayRequest.Await}. */
  record Pending() implements GatewayReply {}

  /**
   * The VM does not hold the connection; nothing was sent to the server.
   *
   * @param code the reason
   */
  record Declined(ResultCode code) implements GatewayReply {}

  /**
   * There was no slot or permit in time; nothing was sent to the server.
   *
   * @param code the reason
   */
  record Refused(ResultCode code) implements GatewayReply {}

  /**
   * No connection could be opened or given the state of the session; the statement was not sent.
   *
   * @param failure the reason for which the server refused the connection, or null if it gave none
   * @param reason the reason, for the log
   */
  record ConnectFailed(@Nullable ServerFailure failure, String reason) implements GatewayReply {}

  /**
   * The server replied to the statement.
   *
   * @param reply the reply of the server
   * @param waitedMillis the time from the receipt of the request until the statement was sent, in
   *     milliseconds
   * @param serverMillis the time from sending the statement until the reply, in milliseconds
   */
  record Ran(ServerReply reply, long waitedMillis, long serverMillis) implements GatewayReply {}

  /**
   * The connection to the server failed before a complete reply arrived.
   *
   * @param mayHaveReachedServer whether the statement may have reached the server
   * @param reason the reason, for the log
   */
  record Broken(boolean mayHaveReachedServer, String reason) implements GatewayReply {}

  /** The handle does not exist any more; the request had no effect. */
  record HandleLost() implements GatewayReply {}
}
