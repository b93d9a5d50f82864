package org.cowslipdale.core.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cowslipdale.core.view.Transition;
import org.cowslipdale.core.view.View;
import org.cowslipdale.core.view.ViewCommand;

/**
 * What the control log determines: the view and the results of recent changes; immutable.
 *
 * @param view the view
 * @param history the results of the most recent operators' changes, oldest first
 */
public record ControlState(View view, List<ChangeRecord> history) {

  /** The state before the first entry. */
  public static final ControlState EMPTY = new ControlState(View.EMPTY, List.of());

  /** How many results are kept; resends of older changes are judged anew. */
  public static final int MAX_HISTORY = 2_000;

  /** Copies the history. */
  public ControlState {
    requireNonNull(view, "view");
    history = List.copyOf(history);
  }

  /**
   * What applying a command did.
   *
   * @param state the state afterwards
   * @param viewChanged whether the view changed
   * @param result the result to report
   */
  public record ApplyResult(ControlState state, boolean viewChanged, ChangeRecord result) {}

  /**
   * Applies a command; a resent operator's change gets its first result again.
   *
   * @param command the command
   */
  public ApplyResult apply(ViewCommand command) {
    if (command instanceof ViewCommand.OperatorCommand change) {
      Optional<ChangeRecord> earlier = result(change.requestId());
      return earlier.isPresent() ? new ApplyResult(this, false, earlier.get()) : applyChange(change);
    }
    Transition transition = view.apply(command);
    ChangeRecord result =
        new ChangeRecord(
            "", transition.code(), transition.message(), transition.view().version(), 0);
    return new ApplyResult(new ControlState(transition.view(), history), changesView(transition), result);
  }

  /**
   * Returns the result of an earlier change.
   *
   * @param requestId the identifier of the change
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
    return new ApplyResult(new ControlState(transition.view(), next), changesView(transition), result);
  }

  /** A command may be acknowledged without changing the view, and is then no difference of it. */
  private boolean changesView(Transition transition) {
    return transition.view().version() > view.version();
  }
}
