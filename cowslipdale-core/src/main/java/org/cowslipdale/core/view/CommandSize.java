package org.cowslipdale.core.view;

/** Estimates how much memory a command takes, so that its holders can be bounded in bytes. */
public final class CommandSize {

  /** A command without lists or documents, or one item of a list. */
  private static final long ITEM_BYTES = 400;

  /** A document is held as text and as the configuration and keys that it declares. */
  private static final long BYTES_PER_DOCUMENT_CHARACTER = 3;

  private CommandSize() {}

  /** Returns an estimate of the size of a command on the heap, in bytes. */
  public static long estimatedBytes(ViewCommand command) {
    return switch (command) {
      case ViewCommand.ReplaceConfiguration replacement ->
          ITEM_BYTES + BYTES_PER_DOCUMENT_CHARACTER * replacement.document().text().length();
      case ViewCommand.ChangeConfiguration change -> ITEM_BYTES * (1 + change.change().itemCount());
      case ViewCommand.AddKey key -> ITEM_BYTES;
      case ViewCommand.WithdrawKey key -> ITEM_BYTES;
      case ViewCommand.RemoveVm vm -> ITEM_BYTES;
      case ViewCommand.RegisterVm vm -> ITEM_BYTES;
      case ViewCommand.BeginTerm term -> ITEM_BYTES;
      case ViewCommand.CompleteTerm term -> ITEM_BYTES;
      case ViewCommand.BeginEvacuation evacuation -> ITEM_BYTES;
      case ViewCommand.EndEvacuation evacuation -> ITEM_BYTES;
    };
  }
}
