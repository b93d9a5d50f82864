package org.cowslipdale.daemon.storage;

import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Thrown when the data folder of a voter cannot be read or written. */
public final class StorageException extends CowslipException {

  /**
   * Creates an exception.
   *
   * @param code the result code
   * @param message the description of the failure for operators
   * @param cause the underlying failure, if any
   */
  public StorageException(ResultCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
