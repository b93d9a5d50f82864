package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * What the fleet knows of a customer's key; the key itself is not stored.
 *
 * @param id the public part of the key
 * @param customer the customer to whom the key was given
 * @param salt the salt of the digest, in hexadecimal
 * @param digest the salted SHA-256 digest of the secret part, in hexadecimal
 * @see KeyDigester
 */
public record ApiKey(String id, String customer, String salt, String digest) {

  /** Asserts that every component is set. */
  public ApiKey {
    requireNonNull(id, "id");
    requireNonNull(customer, "customer");
    requireNonNull(salt, "salt");
    requireNonNull(digest, "digest");
  }
}
