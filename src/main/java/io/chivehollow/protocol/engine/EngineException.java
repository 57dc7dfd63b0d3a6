package io.chivehollow.protocol.engine;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * An error of a call to a backend server.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class EngineException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private EngineException(ErrorCode code, String message, boolean notRun, @Nullable Throwable cause) {
        super(code, message, notRun, cause);
    }

    /** Returns an error of a call of which the backend server has received no byte. */
    public static EngineException notSent(ErrorCode code, String message, @Nullable Throwable cause) {
        return new EngineException(code, message, true, cause);
    }

    /** Returns an error of a call that may have been run. */
    public static EngineException mayHaveRun(ErrorCode code, String message, @Nullable Throwable cause) {
        return new EngineException(code, message, false, cause);
    }
}
