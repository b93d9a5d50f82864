package org.cowslipdale.core.view;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Creates and checks salted digests of keys.
 *
 * <p>A key reads {@code ck_<id>_<secret>}. The secret has at least 128 random bits, so one round of
 * SHA-256 suffices; comparison takes constant time.
 */
public final class KeyDigester {

  private static final String PREFIX = "ck_";

  private KeyDigester() {}

  /**
   * Returns the text of a key, which is shown once to the operator and never stored.
   *
   * @param id the public part
   * @param secret the secret part
   */
  public static String format(String id, String secret) {
    return PREFIX + id + "_" + secret;
  }

  /**
   * Returns the stored form of a key.
   *
   * @param id the public part
   * @param customer the customer to whom the key is given
   * @param salt random salt, in hexadecimal
   * @param secret the secret part
   */
  public static ApiKey digest(String id, String customer, String salt, String secret) {
    return new ApiKey(id, customer, salt, HexFormat.of().formatHex(sha256(salt, secret)));
  }

  /**
   * Returns the customer to whom a presented key was given.
   *
   * @param view the view that holds the known keys
   * @param presented the key text that came with the request
   * @return the customer, or empty if the key is malformed, unknown, withdrawn or wrong
   */
  public static Optional<Customer> authenticate(View view, String presented) {
    int separator = presented.indexOf('_', PREFIX.length());
    if (!presented.startsWith(PREFIX) || separator < 0) {
      return Optional.empty();
    }
    ApiKey key = view.keys().get(presented.substring(PREFIX.length(), separator));
    if (key == null || !matches(key, presented.substring(separator + 1))) {
      return Optional.empty();
    }
    return Optional.ofNullable(view.configuration().customers().get(key.customer()));
  }

  /**
   * Returns the stored form of a key whose whole text is secret.
   *
   * @param text the key
   * @param customer the customer to whom the key is given
   */
  public static ApiKey digestOpaque(String text, String customer) {
    String digest = HexFormat.of().formatHex(sha256("", text));
    return new ApiKey(digest, customer, "", digest);
  }

  /**
   * Returns the customer to whom a key was given whose whole text is secret.
   *
   * @param view the view that holds the known keys
   * @param presented the key text that came with the request
   * @return the customer, or empty if the key is unknown or withdrawn
   */
  public static Optional<Customer> authenticateOpaque(View view, String presented) {
    ApiKey key = view.keys().get(HexFormat.of().formatHex(sha256("", presented)));
    return key == null
        ? Optional.empty()
        : Optional.ofNullable(view.configuration().customers().get(key.customer()));
  }

  private static boolean matches(ApiKey key, String secret) {
    byte[] expected = HexFormat.of().parseHex(key.digest());
    return MessageDigest.isEqual(expected, sha256(key.salt(), secret));
  }

  private static byte[] sha256(String salt, String secret) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(HexFormat.of().parseHex(salt));
      return digest.digest(secret.getBytes(UTF_8));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime provides SHA-256", e);
    }
  }
}
