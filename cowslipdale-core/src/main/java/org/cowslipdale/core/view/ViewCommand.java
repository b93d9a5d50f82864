package org.cowslipdale.core.view;

import java.util.List;

/** A change of the view, as it is replicated in the control log. */
public sealed interface ViewCommand {

  /** A change that an operator asked for; resends carry the same request id. */
  sealed interface OperatorCommand extends ViewCommand {
    /** Returns the identifier that all resends of the change share. */
    String requestId();

    /** Returns when the change was proposed, in milliseconds since the epoch. */
    long proposedAtMillis();
  }

  /**
   * Changes the configuration if it still has the expected version.
   *
   * @param requestId identifier that all resends share
   * @param proposedAtMillis when the change was proposed, in milliseconds since the epoch
   * @param expectedVersion the configuration version on which the change is based
   * @param change the difference to apply
   */
  record ChangeConfiguration(
      String requestId, long proposedAtMillis, long expectedVersion, ConfigurationChange change)
      implements OperatorCommand {}

  /**
   * Replaces the whole configuration and all keys if its version is higher than the present one.
   *
   * @param document the configuration as the operator sent it
   * @param configuration what it declares
   * @param keys the keys that it declares
   */
  record ReplaceConfiguration(
      DeclaredDocument document, Configuration configuration, List<ApiKey> keys)
      implements ViewCommand {

    /** Copies the keys. */
    public ReplaceConfiguration {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Adds a customer's key.
   *
   * @param requestId identifier that all resends share
   * @param proposedAtMillis when the change was proposed, in milliseconds since the epoch
   * @param key the key to add
   */
  record AddKey(String requestId, long proposedAtMillis, ApiKey key) implements OperatorCommand {}

  /**
   * Withdraws a customer's key.
   *
   * @param requestId identifier that all resends share
   * @param proposedAtMillis when the change was proposed, in milliseconds since the epoch
   * @param keyId the public part of the key
   */
  record WithdrawKey(String requestId, long proposedAtMillis, String keyId)
      implements OperatorCommand {}

  /**
   * Removes a VM that will not come back under its name.
   *
   * @param requestId identifier that all resends share
   * @param proposedAtMillis when the change was proposed, in milliseconds since the epoch
   * @param vm the name of the VM
   */
  record RemoveVm(String requestId, long proposedAtMillis, String vm) implements OperatorCommand {}

  /**
   * Registers a VM or updates its addresses.
   *
   * @param vm the VM; its claim times are set when the command is applied
   * @param proposedAtMillis when the registration was proposed, in milliseconds since the epoch
   */
  record RegisterVm(VmRecord vm, long proposedAtMillis) implements ViewCommand {}

  /**
   * Begins a term without a primary, which ends the authority of the former primary.
   *
   * @param database the database
   * @param term the new term, one above the current one
   */
  record BeginTerm(String database, long term) implements ViewCommand {}

  /**
   * Appoints the primary of a term that was begun.
   *
   * @param database the database
   * @param term the term that was begun
   * @param primary the backend server that was promoted
   * @param startOffset the log offset at which it began to write
   */
  record CompleteTerm(String database, long term, String primary, long startOffset)
      implements ViewCommand {}
}
