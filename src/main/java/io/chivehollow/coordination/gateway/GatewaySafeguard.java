package io.chivehollow.coordination.gateway;

/**
 * Safeguards of the gateway that a test can disable, to show that the test fails without them.
 *
 * <p>Immutable and thread-safe. No setting disables a safeguard; in production all are always enabled.
 */
enum GatewaySafeguard {
    CANCEL_ON_DISCONNECT,
    KEY_RECHECK,
    TOKEN_ORDER,
    COMPLETENESS_CHECK,
    NO_RETRY_AFTER_OUTPUT,
    AT_MOST_ONCE,
    CREDENTIAL_FILTER,
    SHUTDOWN_DRAIN,
    SUBSET_FALLBACK,
    STREAM_BOUND,
    WRITE_TIMEOUT
}
