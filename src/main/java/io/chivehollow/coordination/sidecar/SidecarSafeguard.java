package io.chivehollow.coordination.sidecar;

/**
 * Safeguards that a test can disable one by one, to show that the test fails without them.
 *
 * <p>Immutable and thread-safe. No setting disables a safeguard; all of them are always enabled in production.
 */
enum SidecarSafeguard {
    ABORT_ON_CANCEL,
    RECONCILIATION,
    BOOT_DETECTION,
    COLD_START_RAMP,
    SLOW_TOKEN_DETECTION,
    TRANSFER_TIMEOUT,
    RELEASED_STATE_CHECK,
    FENCING,
    AT_MOST_ONCE,
    LINK_BUDGET,
    DIRECT_PREFILL_QUEUE,
    LATE_REQUEST_HANDLING,
    REQUEST_COUNT_AFTER_FAILED_ABORT,
    MEMORY_SHARES
}
