package io.chivehollow.coordination;

import java.util.OptionalLong;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import org.jspecify.annotations.Nullable;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * An error of the coordination layer.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class CoordinationException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    /** Value of {@link #retryAfterMs} if there is no time. */
    private static final long NO_TIME = -1;

    private final long retryAfterMs;

    private CoordinationException(
            ErrorCode code, String message, boolean notRun, long retryAfterMs, @Nullable Throwable cause) {
        super(code, message, notRun, cause);
        this.retryAfterMs = retryAfterMs;
    }

    /** Returns the time in milliseconds after which a retry of the request may succeed, or empty if there is none. */
    public OptionalLong retryAfterMs() {
        return retryAfterMs == NO_TIME ? OptionalLong.empty() : OptionalLong.of(retryAfterMs);
    }

    /**
     * Returns a copy of this error with the time after which a retry of the request may succeed.
     *
     * @param timeMs time in milliseconds; must not be negative
     */
    public CoordinationException withRetryAfterMs(long timeMs) {
        checkArgument(timeMs >= 0, "timeMs must not be negative, but was %s", timeMs);
        return new CoordinationException(code(), String.valueOf(getMessage()), isNotRun(), timeMs, getCause());
    }

    /** Returns an error of a request that certainly has not been run. */
    public static CoordinationException notRun(ErrorCode code, String message) {
        return new CoordinationException(code, message, true, NO_TIME, null);
    }

    /** Returns an error of a request that may have been run. */
    public static CoordinationException mayHaveRun(ErrorCode code, String message, @Nullable Throwable cause) {
        return new CoordinationException(code, message, false, NO_TIME, cause);
    }
}
