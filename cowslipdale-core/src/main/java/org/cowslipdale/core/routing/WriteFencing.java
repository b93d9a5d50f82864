package org.cowslipdale.core.routing;

/** How writes to a primary that has been replaced are prevented from being acknowledged. */
public enum WriteFencing {
  /** A replaced primary refuses writes from the moment at which its successor takes over. */
  BY_SERVERS,

  /**
   * A replaced primary accepts writes until it learns of its successor. A VM therefore sends and
   * acknowledges writes only while it holds a lease: a successor takes over only after every lease
   * on a view with the old primary has ended.
   */
  BY_LEASE
}
