package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.base.ErrorCode;

/**
 * The reason for which a request is refused.
 *
 * <p>Immutable and thread-safe.
 *
 * @param code error code of the response to the caller
 * @param message description of the error, without secrets
 * @param isNotRun whether the request has certainly not been run
 * @param retryAfterMs time in milliseconds after which the caller may retry, or {@link #NO_RETRY_TIME}
 */
public record Refusal(ErrorCode code, String message, boolean isNotRun, long retryAfterMs) {

    /** Retry time of a refusal that does not depend on time. */
    public static final long NO_RETRY_TIME = -1;

    /** Retry time in milliseconds at full servers, which have capacity again after about the time of one request. */
    static final long OVERLOAD_RETRY_MS = 300;

    /** Returns the refusal of a request that has not been run; it has no retry time. */
    public static Refusal of(ErrorCode code, String message) {
        return new Refusal(code, message, true, NO_RETRY_TIME);
    }

    /**
     * Returns the refusal of a request that has not been run and may be retried after the given time in milliseconds.
     */
    public static Refusal retryAfter(ErrorCode code, String message, long retryAfterMs) {
        return new Refusal(code, message, true, retryAfterMs);
    }

    /** Returns the refusal of a request that a backend server may have run. */
    static Refusal mayHaveRun(ErrorCode code, String message) {
        return new Refusal(code, message, false, NO_RETRY_TIME);
    }
}
