package io.chivehollow.state.log;

import java.io.IOException;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a file system refuses a write, a sync or a change of names.
 *
 * <p>The content of unsynced writes is unknown afterwards: a later sync may succeed without having written it.
 * Immutable, apart from what {@link Throwable} changes.
 */
public class WriteFailedException extends IOException {

    private static final long serialVersionUID = 1L;

    public WriteFailedException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }

    /** Returns the exception for a failed change, a {@link DiskFullException} if there is no space. */
    static WriteFailedException of(IOException failure) {
        if (failure instanceof WriteFailedException known) {
            return known;
        }
        // The JDK reports ENOSPC and EDQUOT only through the message text of the operating system.
        String message = String.valueOf(failure.getMessage());
        return message.contains("No space left") || message.contains("quota exceeded")
                ? new DiskFullException(message, failure)
                : new WriteFailedException(message, failure);
    }

    /** Returns whether the failure was caused by a refused change, and not by content that is missing or damaged. */
    public static boolean isCauseOf(Throwable failure) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (cause instanceof WriteFailedException) {
                return true;
            }
        }
        return false;
    }
}
