package io.chivehollow.base;

import org.jspecify.annotations.Nullable;

/**
 * An error with an {@link ErrorCode}; each layer has its own subclass.
 *
 * <p>Invariant: {@link #isNotRun} is true only if the request that failed has certainly not been run by a backend
 * server. Immutable, apart from what {@link Throwable} changes.
 */
public abstract class ChivehollowException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;
    private final boolean notRun;

    protected ChivehollowException(ErrorCode code, String message, boolean notRun, @Nullable Throwable cause) {
        super(message, cause);
        this.code = code;
        this.notRun = notRun;
    }

    /** Returns the code of this error. */
    public final ErrorCode code() {
        return code;
    }

    /** Returns whether the request has certainly not been run by a backend server, so that a retry is safe. */
    public final boolean isNotRun() {
        return notRun;
    }
}
