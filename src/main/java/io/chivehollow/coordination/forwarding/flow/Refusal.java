package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.base.ErrorCode;

/**
 * Why a request is not served.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code error that the caller gets
 * @param message what is wrong, without secrets
 * @param retryAfterMs time after which to come back, or {@link #NO_TIME}
 */
record Refusal(ErrorCode code, String message, long retryAfterMs) {

    static final long NO_TIME = -1;

    static Refusal of(ErrorCode code, String message) {
        return new Refusal(code, message, NO_TIME);
    }

    static Refusal later(ErrorCode code, String message, long retryAfterMs) {
        return new Refusal(code, message, retryAfterMs);
    }
}
