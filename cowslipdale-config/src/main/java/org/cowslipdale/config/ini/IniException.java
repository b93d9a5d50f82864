package org.cowslipdale.config.ini;

import java.util.List;
import java.util.stream.Collectors;
import org.cowslipdale.core.result.CowslipException;
import org.jspecify.annotations.Nullable;

/** Thrown when an INI file is invalid; carries all errors that were found. */
public final class IniException extends CowslipException {

  private final transient List<IniProblem> problems;

  /**
   * Creates an exception.
   *
   * @param problems the errors, at least one
   */
  public IniException(List<IniProblem> problems) {
    this(problems, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param problems the errors, at least one
   * @param cause the underlying exception, or null for none
   */
  public IniException(List<IniProblem> problems, @Nullable Throwable cause) {
    super(problems.getFirst().code(), describe(problems), cause);
    this.problems = List.copyOf(problems);
  }

  /** Returns the errors in the order in which they were found. */
  public List<IniProblem> problems() {
    return problems;
  }

  private static String describe(List<IniProblem> problems) {
    return problems.stream().map(IniProblem::toString).collect(Collectors.joining("\n"));
  }
}
