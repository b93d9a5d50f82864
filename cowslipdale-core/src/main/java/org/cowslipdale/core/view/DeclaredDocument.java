package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * The configuration as operators sent it.
 *
 * @param version the operators' version number
 * @param text the document, unchanged
 */
public record DeclaredDocument(long version, String text) {

  /** The document before the first one. */
  public static final DeclaredDocument NONE = new DeclaredDocument(0, "");

  /** Asserts that the text is set. */
  public DeclaredDocument {
    requireNonNull(text, "text");
  }

  @Override
  public String toString() {
    return "DeclaredDocument[version=" + version + "]";
  }
}
