package org.cowslipdale.core.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.Transition;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;

/**
 * The immutable state that results from applying the control log: the view, and the results of
 * recent operator changes.
 *
 * @param view the view
 * @param history the results of the most recent operator changes, oldest first
 */
public record ControlState(View view, List<ChangeRecord> history) {

  /** The state before the first entry of the control log. */
  public static final ControlState EMPTY = new ControlState(View.EMPTY, List.of());

  /**
   * The number of retained results. A resent change whose result is no longer retained is applied
   * again.
   */
  public static final int MAX_HISTORY = 2_000;

  /** Creates an immutable copy of the history. */
  public ControlState {
    requireNonNull(view, "view");
    history = List.copyOf(history);
  }

  /**
   * The result of applying a command.
   *
   * @param state the state after the command
   * @param viewChanged whether the command led to a new version of the view
   * @param result the result to report to the requester
   */
  public record ApplyResult(ControlState state, boolean viewChanged, ChangeRecord result) {}

  /**
   * Applies a command. An operator change that was applied before is not applied again, but
   * receives its previous result.
   *
   * @param command the command to apply
   */
  public ApplyResult apply(ViewCommand command) {
    if (command instanceof ViewCommand.OperatorCommand change) {
      Optional<ChangeRecord> earlier = result(change.requestId());
      return earlier.isPresent()
          ? new ApplyResult(this, false, earlier.get())
          : applyChange(change);
    }
    Transition transition = view.apply(command);
    ChangeRecord result =
        new ChangeRecord(
            "", transition.code(), transition.message(), transition.view().version(), 0);
    return new ApplyResult(
        new ControlState(transition.view(), history), changesView(transition), result);
  }

  /**
   * Returns the retained result of an operator change, if any.
   *
   * @param requestId the request identifier of the change
   */
  public Optional<ChangeRecord> result(String requestId) {
    for (ChangeRecord record : history.reversed()) {
      if (record.requestId().equals(requestId)) {
        return Optional.of(record);
      }
    }
    return Optional.empty();
  }

  private ApplyResult applyChange(ViewCommand.OperatorCommand change) {
    Transition transition = view.apply(change);
    ChangeRecord result =
        new ChangeRecord(
            change.requestId(),
            transition.code(),
            transition.message(),
            transition.view().version(),
            change.proposedAtMillis());
    List<ChangeRecord> next = new ArrayList<>(history);
    next.add(result);
    if (next.size() > MAX_HISTORY) {
      next.removeFirst();
    }
    return new ApplyResult(
        new ControlState(transition.view(), next), changesView(transition), result);
  }

  /** A command may be acknowledged without a new version of the view. */
  private boolean changesView(Transition transition) {
    return transition.view().version() > view.version();
  }
}
