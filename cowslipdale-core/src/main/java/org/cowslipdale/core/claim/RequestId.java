package org.cowslipdale.core.claim;

import java.util.Optional;
import java.util.UUID;

/**
 * A request id chosen by the caller: a UUID of version 7, which contains the time of its creation.
 *
 * @param text the id in canonical form
 * @param createdMillis when the caller created the id, in milliseconds since the epoch
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9562">RFC 9562</a>
 */
public record RequestId(String text, long createdMillis) {

  private static final int VERSION = 7;
  private static final int TIME_SHIFT = 16;

  /**
   * Parses a header value.
   *
   * @param header the header value
   * @return the id, or empty if the value is not a UUID of version 7
   */
  public static Optional<RequestId> parse(String header) {
    try {
      UUID uuid = UUID.fromString(header.strip());
      boolean canonical = uuid.toString().equalsIgnoreCase(header.strip());
      if (!canonical || uuid.version() != VERSION) {
        return Optional.empty();
      }
      return Optional.of(
          new RequestId(uuid.toString(), uuid.getMostSignificantBits() >>> TIME_SHIFT));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
