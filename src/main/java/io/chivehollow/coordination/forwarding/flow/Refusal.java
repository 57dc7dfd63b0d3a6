package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.base.ErrorCode;

/**
 * Why a request is not served.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code error that the caller gets
 * @param message what is wrong, without secrets
 * @param isNotRun whether the request has certainly not been run
 * @param retryAfterMs time after which to come back, or {@link #NO_TIME}
 */
public record Refusal(ErrorCode code, String message, boolean isNotRun, long retryAfterMs) {

    /** Stands for a refusal that does not depend on time. */
    public static final long NO_TIME = -1;

    /** Returns the refusal of a request that has not been run. */
    public static Refusal of(ErrorCode code, String message) {
        return new Refusal(code, message, true, NO_TIME);
    }

    /** Returns the refusal of a request that has not been run and may come back. */
    static Refusal later(ErrorCode code, String message, long retryAfterMs) {
        return new Refusal(code, message, true, retryAfterMs);
    }

    /** Returns the end of a request that a backend server may have run. */
    static Refusal mayHaveRun(ErrorCode code, String message) {
        return new Refusal(code, message, false, NO_TIME);
    }
}
