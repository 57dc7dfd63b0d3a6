package io.chivehollow.state;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when an operation on the replicated log or its storage fails or is refused.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class StateException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private StateException(ErrorCode code, String message, boolean notRun, @Nullable Throwable cause) {
        super(code, message, notRun, cause);
    }

    /** Returns an error after which a proposed command may have taken effect. */
    public static StateException mayHaveRun(ErrorCode code, String message) {
        return new StateException(code, message, false, null);
    }

    /** Returns an error with a cause, after which a proposed command may have taken effect. */
    public static StateException failed(ErrorCode code, String message, @Nullable Throwable cause) {
        return new StateException(code, message, false, cause);
    }

    /** Returns an error after which a proposed command has not taken effect and never will. */
    public static StateException refused(ErrorCode code, String message, @Nullable Throwable cause) {
        return new StateException(code, message, true, cause);
    }
}
