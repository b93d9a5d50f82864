package org.cowslipdale.daemon.session;

import org.cowslipdale.core.statement.ServerCommand;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.daemon.connection.BackendException;

/** A connection to a backend server that has session state; it executes one command at a time. */
public interface ServerConnection extends AutoCloseable {

  /**
   * Sends a command and waits for the complete reply.
   *
   * <p>After an exception the connection is unusable and must be closed.
   *
   * @param command the command
   * @param timeoutMillis the timeout for the reply, in milliseconds
   * @throws BackendException if no complete reply arrives
   */
  ServerReply execute(ServerCommand command, long timeoutMillis) throws BackendException;

  /** Returns whether the connection can execute a command. */
  boolean isUsable();

  @Override
  void close();
}
