package org.cowslipdale.core.view;

/** When a write of a class is acknowledged to its caller. */
public enum Acknowledgement {
  /** As soon as the primary has run it; a failover may lose it. */
  PRIMARY,
  /** When a majority of the database group has it, so that no single failure loses it. */
  REPLICATED
}
