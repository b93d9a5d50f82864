package org.cowslipdale.core.view;

import static java.util.Objects.requireNonNull;

/**
 * The stored form of a customer's API key: its public id and a salted digest of its secret part.
 *
 * <p>The secret part itself is never stored.
 *
 * @param id the public part of the key
 * @param customer the customer to whom the key was issued
 * @param salt the salt of the digest, in hexadecimal
 * @param digest the salted SHA-256 digest of the secret part, in hexadecimal
 * @see KeyDigester
 */
public record ApiKey(String id, String customer, String salt, String digest) {

  /** Rejects null components. */
  public ApiKey {
    requireNonNull(id, "id");
    requireNonNull(customer, "customer");
    requireNonNull(salt, "salt");
    requireNonNull(digest, "digest");
  }
}
