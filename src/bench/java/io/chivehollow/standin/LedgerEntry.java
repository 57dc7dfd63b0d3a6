package io.chivehollow.standin;

/**
 * One call that a simulated plain service has run.
 *
 * <p>Immutable and thread-safe. The JSON fields at {@code /ledger} have the names of the components.
 *
 * @param sequence position in the ledger, from 1
 * @param method HTTP method
 * @param path path of the request
 * @param idempotencyKey value of the header Idempotency-Key, or empty
 * @param requestId value of the header X-Request-Id, or empty
 * @param bodySha256 SHA-256 hash of the body in hexadecimal
 */
public record LedgerEntry(
        long sequence, String method, String path, String idempotencyKey, String requestId, String bodySha256) {}
