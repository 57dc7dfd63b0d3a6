package io.chivehollow.state.log;

import org.jspecify.annotations.Nullable;

/**
 * Thrown when a write fails because the disk is full.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class DiskFullException extends WriteFailedException {

    private static final long serialVersionUID = 1L;

    public DiskFullException(String message, @Nullable Throwable cause) {
        super(message, cause);
    }
}
