package org.cowslipdale.daemon.session;

import org.cowslipdale.core.statement.ServerCommand;
import org.cowslipdale.core.statement.ServerReply;
import org.cowslipdale.daemon.connection.BackendException;

/** A connection to a backend server with a state of its own; it runs one command at a time. */
public interface ServerConnection extends AutoCloseable {

  /**
   * Sends a command and waits for the whole answer.
   *
   * <p>After an exception the connection is unusable and must be closed.
   *
   * @param command the command
   * @param timeoutMillis how long to wait for the answer, in milliseconds
   * @throws BackendException if no whole answer arrives
   */
  ServerReply execute(ServerCommand command, long timeoutMillis) throws BackendException;

  /** Returns whether the connection can take a command. */
  boolean isUsable();

  @Override
  void close();
}
