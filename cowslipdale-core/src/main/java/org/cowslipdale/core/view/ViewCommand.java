package org.cowslipdale.core.view;

import java.util.List;

/** A command that changes the view; commands are replicated through the control log. */
public sealed interface ViewCommand {

  /** A change requested by an operator; all resends carry the same request id. */
  sealed interface OperatorCommand extends ViewCommand {
    /** Returns the identifier shared by all resends of the change. */
    String requestId();

    /** Returns the time at which the change was proposed, in milliseconds since the epoch. */
    long proposedAtMillis();
  }

  /**
   * Changes the configuration if it still has the expected version.
   *
   * @param requestId the identifier shared by all resends
   * @param proposedAtMillis the time of the proposal, in milliseconds since the epoch
   * @param expectedVersion the configuration version on which the change is based
   * @param change the difference to apply
   */
  record ChangeConfiguration(
      String requestId, long proposedAtMillis, long expectedVersion, ConfigurationChange change)
      implements OperatorCommand {}

  /**
   * Replaces the whole configuration and all keys if the document has a higher version than the
   * current one.
   *
   * @param document the document as the operator sent it
   * @param configuration the configuration that the document declares
   * @param keys the API keys that the document declares
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
   * Adds an API key of a customer.
   *
   * @param requestId the identifier shared by all resends
   * @param proposedAtMillis the time of the proposal, in milliseconds since the epoch
   * @param key the key to add
   */
  record AddKey(String requestId, long proposedAtMillis, ApiKey key) implements OperatorCommand {}

  /**
   * Withdraws an API key of a customer.
   *
   * @param requestId the identifier shared by all resends
   * @param proposedAtMillis the time of the proposal, in milliseconds since the epoch
   * @param keyId the public part of the key
   */
  record WithdrawKey(String requestId, long proposedAtMillis, String keyId)
      implements OperatorCommand {}

  /**
   * Removes a VM that will not rejoin under its name.
   *
   * @param requestId the identifier shared by all resends
   * @param proposedAtMillis the time of the proposal, in milliseconds since the epoch
   * @param vm the name of the VM
   */
  record RemoveVm(String requestId, long proposedAtMillis, String vm) implements OperatorCommand {}

  /**
   * Registers a VM or updates its addresses.
   *
   * @param vm the VM; its claim times are set when the command is applied
   * @param proposedAtMillis the time of the proposal, in milliseconds since the epoch
   */
  record RegisterVm(VmRecord vm, long proposedAtMillis) implements ViewCommand {}

  /**
   * Begins a term that has no primary yet. This ends the authority of the previous primary.
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
   * @param startOffset the log offset from which the primary writes
   */
  record CompleteTerm(String database, long term, String primary, long startOffset)
      implements ViewCommand {}

  /**
   * Evacuates a failure domain: its servers get no new work, and its primaries are replaced.
   *
   * @param failureDomain the name of the failure domain
   */
  record BeginEvacuation(String failureDomain) implements ViewCommand {}

  /**
   * Ends the evacuation of a failure domain.
   *
   * @param failureDomain the name of the failure domain
   */
  record EndEvacuation(String failureDomain) implements ViewCommand {}
}
