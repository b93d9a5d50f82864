package org.cowslipdale.core.view;

/** Defines when a write is acknowledged to its caller. */
public enum Acknowledgement {
  /** After the primary has run the write; a failover may lose it. */
  PRIMARY,
  /** After a majority of the database group has stored it; no single failure loses the write. */
  REPLICATED
}
