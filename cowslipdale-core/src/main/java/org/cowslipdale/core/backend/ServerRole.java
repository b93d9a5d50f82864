package org.cowslipdale.core.backend;

/** The role that a backend server reports for itself. */
public enum ServerRole {
  /** The server accepts writes of its term. */
  PRIMARY,
  /** The server replicates the log of a primary. */
  REPLICA
}
