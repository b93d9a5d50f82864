package org.cowslipdale.core.gateway;

import java.util.Map;
import org.cowslipdale.core.session.LogPosition;
import org.cowslipdale.core.statement.Statement;
import org.cowslipdale.core.statement.Statement.PreparedStatement;
import org.jspecify.annotations.Nullable;

/**
 * A request of a VM to the gateway that holds connections for it.
 *
 * <p>The requester chooses the number of a handle, so that it can release a handle whose creation
 * was not answered in time. A handle is valid on the peer connection on which it was acquired.
 * Times are durations, because VMs share no clock. No request contains a key of a caller.
 */
public sealed interface GatewayRequest {

  /** Returns the number of the handle. */
  long handle();

  /**
   * Requests a slot and a connection with the state of a session.
   *
   * @param handle the number of the new handle
   * @param database the name of the database
   * @param server the name of the server
   * @param customer the name of the customer on whose behalf the connection is used
   * @param priority the priority of the route
   * @param values the values of the session
   * @param prepared the statement to prepare on the connection, or null for none
   * @param slotWaitMillis how long to wait for a slot and a permit, in milliseconds
   * @param limitMillis the time within which the connection must be open, in milliseconds
   */
  record Acquire(
      long handle,
      String database,
      String server,
      String customer,
      int priority,
      Map<String, String> values,
      @Nullable PreparedStatement prepared,
      long slotWaitMillis,
      long limitMillis)
      implements GatewayRequest {

    /** Copies the values. */
    public Acquire {
      values = Map.copyOf(values);
    }
  }

  /**
   * Acquires a connection, runs one statement that only reads, and releases the connection.
   *
   * @param acquire the request for the connection
   * @param run the statement
   */
  record Read(Acquire acquire, Run run) implements GatewayRequest {

    @Override
    public long handle() {
      return acquire.handle();
    }
  }

  /**
   * Runs a statement on the connection of a handle.
   *
   * @param handle the number of the handle
   * @param statement the statement; an assignment sets a value of the connection
   * @param prepared the prepared statement to execute, or null if the statement executes none
   * @param minPosition the log position that the server must have applied, or null for none
   * @param limitMillis the remaining time of the statement, in milliseconds
   */
  record Run(
      long handle,
      Statement statement,
      @Nullable PreparedStatement prepared,
      @Nullable LogPosition minPosition,
      long limitMillis)
      implements GatewayRequest {}

  /**
   * Requests the result of a request that was answered with {@link GatewayReply.Pending}: an {@link
   * Acquire}, a {@link Read}, or a {@link Run} that begins a transaction.
   *
   * @param handle the number of the handle
   */
  record Await(long handle) implements GatewayRequest {}

  /**
   * Ends the use of a handle; has no reply.
   *
   * @param handle the number of the handle
   * @param clean whether the connection may be used again; otherwise it is closed
   */
  record Release(long handle, boolean clean) implements GatewayRequest {}
}
