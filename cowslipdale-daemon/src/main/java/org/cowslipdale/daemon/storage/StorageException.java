package org.cowslipdale.daemon.storage;

import org.cowslipdale.core.result.CowslipException;
import org.cowslipdale.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Reports that the durable state cannot be read or written. */
public final class StorageException extends CowslipException {

  /**
   * Creates an exception.
   *
   * @param code the code to report
   * @param message what happened, for people
   * @param cause the underlying failure, if any
   */
  public StorageException(ResultCode code, String message, @Nullable Throwable cause) {
    super(code, message, cause);
  }
}
