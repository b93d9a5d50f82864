package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * The text of a configuration document as operators sent it.
 *
 * @param version the version number that operators assigned
 * @param text the unmodified text
 */
public record DeclaredDocument(long version, String text) {

  /** Stands for no document; its version is lower than that of every document. */
  public static final DeclaredDocument NONE = new DeclaredDocument(0, "");

  /** Rejects a null text. */
  public DeclaredDocument {
    requireNonNull(text, "text");
  }

  @Override
  public String toString() {
    return "DeclaredDocument[version=" + version + "]";
  }
}
