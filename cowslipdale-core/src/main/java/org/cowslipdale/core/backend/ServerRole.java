package org.cowslipdale.core.backend;

/** The role that a backend server states for itself. */
public enum ServerRole {
  /** The server accepts writes of its term. */
  PRIMARY,
  /** The server follows a primary. */
  REPLICA
}
