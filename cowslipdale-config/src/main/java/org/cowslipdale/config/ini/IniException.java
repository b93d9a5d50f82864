package org.cowslipdale.config.ini;

import java.util.List;
import java.util.stream.Collectors;
import org.cowslipdale.core.result.CowslipException;
import org.jspecify.annotations.Nullable;

/** Reports all errors that were found in an INI file. */
public final class IniException extends CowslipException {

  private final transient List<IniProblem> problems;

  /**
   * Creates an exception.
   *
   * @param problems the errors found; at least one
   */
  public IniException(List<IniProblem> problems) {
    this(problems, null);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param problems the errors found; at least one
   * @param cause the underlying failure, if any
   */
  public IniException(List<IniProblem> problems, @Nullable Throwable cause) {
    super(problems.getFirst().code(), describe(problems), cause);
    this.problems = List.copyOf(problems);
  }

  /** Returns the errors found. */
  public List<IniProblem> problems() {
    return problems;
  }

  private static String describe(List<IniProblem> problems) {
    return problems.stream().map(IniProblem::toString).collect(Collectors.joining("\n"));
  }
}
