package io.chivehollow.transport;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Load;
import org.jspecify.annotations.Nullable;

/**
 * An error of a connection or of a call on it.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class TransportException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private final transient @Nullable Load load;

    private TransportException(
            ErrorCode code, String message, boolean notRun, @Nullable Load load, @Nullable Throwable cause) {
        super(code, message, notRun, cause);
        this.load = load;
    }

    /** Returns the load that the peer reported when it refused the call, or null if it reported none. */
    public @Nullable Load load() {
        return load;
    }

    /** Returns an error for a call whose frames may have reached the peer. */
    public static TransportException mayHaveRun(ErrorCode code, String message) {
        return new TransportException(code, message, false, null, null);
    }

    /** Returns an error for a call of which the peer has certainly received nothing. */
    public static TransportException notSent(ErrorCode code, String message, @Nullable Throwable cause) {
        return new TransportException(code, message, true, null, cause);
    }

    /** Returns an error that the peer has reported. */
    public static TransportException reported(ErrorCode code, String message, boolean notRun, @Nullable Load load) {
        return new TransportException(code, message, notRun, load, null);
    }
}
