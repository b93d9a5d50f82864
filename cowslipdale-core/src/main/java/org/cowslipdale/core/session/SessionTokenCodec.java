package org.cowslipdale.core.session;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.cowslipdale.core.result.RefusalException;
import org.cowslipdale.core.result.ResultCode;

/**
 * Converts session tokens to and from authenticated header values.
 *
 * <p>Every VM derives the same signing key from the cluster secret, so a token issued by one VM is
 * honoured by all. The header value is the Base64 (URL alphabet) of a 16-byte HMAC-SHA256 tag
 * followed by the payload. This class is safe for use by several threads.
 */
public final class SessionTokenCodec {

  private static final String ALGORITHM = "HmacSHA256";
  private static final int TAG_BYTES = 16;
  private static final int MAX_HEADER_CHARS = 4096;
  private static final byte[] KEY_DERIVATION_LABEL = "cowslipdale session token v1".getBytes(UTF_8);

  private final SecretKeySpec key;

  /**
   * Creates a codec.
   *
   * @param clusterSecret the secret shared by all VMs
   */
  public SessionTokenCodec(byte[] clusterSecret) {
    requireNonNull(clusterSecret, "clusterSecret");
    this.key =
        new SecretKeySpec(hmac(new SecretKeySpec(clusterSecret, ALGORITHM), KEY_DERIVATION_LABEL), ALGORITHM);
  }

  /**
   * Returns the header value of a token.
   *
   * @param token the token to encode
   */
  public String encode(SessionToken token) {
    byte[] payload = formatPayload(token).getBytes(UTF_8);
    byte[] tag = computeTag(payload);
    byte[] all = Arrays.copyOf(tag, TAG_BYTES + payload.length);
    System.arraycopy(payload, 0, all, TAG_BYTES, payload.length);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(all);
  }

  /**
   * Verifies and decodes a header value.
   *
   * @param header the header value that the caller sent
   * @param customer the customer whose key came with the request
   * @return the token
   * @throws RefusalException with {@link ResultCode#BAD_SESSION_TOKEN} if the value is not a token
   *     that some VM issued for this customer
   */
  public SessionToken decode(String header, String customer) throws RefusalException {
    if (header.length() > MAX_HEADER_CHARS) {
      throw new RefusalException(ResultCode.BAD_SESSION_TOKEN);
    }
    byte[] all;
    try {
      all = Base64.getUrlDecoder().decode(header);
    } catch (IllegalArgumentException e) {
      throw new RefusalException(ResultCode.BAD_SESSION_TOKEN);
    }
    if (all.length <= TAG_BYTES) {
      throw new RefusalException(ResultCode.BAD_SESSION_TOKEN);
    }
    byte[] payload = Arrays.copyOfRange(all, TAG_BYTES, all.length);
    if (!MessageDigest.isEqual(computeTag(payload), Arrays.copyOf(all, TAG_BYTES))) {
      throw new RefusalException(ResultCode.BAD_SESSION_TOKEN);
    }
    SessionToken token = parsePayload(new String(payload, UTF_8));
    if (!token.customer().equals(customer)) {
      throw new RefusalException(
          ResultCode.BAD_SESSION_TOKEN, "The session token belongs to another customer.");
    }
    return token;
  }

  private static String formatPayload(SessionToken token) {
    StringBuilder text = new StringBuilder(token.customer());
    for (Map.Entry<String, LogPosition> entry : new TreeMap<>(token.positions()).entrySet()) {
      LogPosition position = entry.getValue();
      text.append('\n').append(entry.getKey());
      text.append(' ').append(position.term()).append(' ').append(position.offset());
    }
    return text.toString();
  }

  private static SessionToken parsePayload(String payload) {
    String[] lines = payload.split("\n", -1);
    Map<String, LogPosition> positions = new TreeMap<>();
    for (String line : Arrays.asList(lines).subList(1, lines.length)) {
      String[] fields = line.split(" ", -1);
      positions.put(
          fields[0], new LogPosition(Long.parseLong(fields[1]), Long.parseLong(fields[2])));
    }
    return new SessionToken(lines[0], positions);
  }

  private byte[] computeTag(byte[] payload) {
    return Arrays.copyOf(hmac(key, payload), TAG_BYTES);
  }

  private static byte[] hmac(SecretKeySpec key, byte[] data) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      return mac.doFinal(data);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java runtime provides " + ALGORITHM, e);
    }
  }
}
