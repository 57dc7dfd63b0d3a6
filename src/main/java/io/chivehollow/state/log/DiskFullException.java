package io.chivehollow.state.log;

import java.io.IOException;

/**
 * Thrown when a write fails because the disk is full.
 *
 * <p>Immutable, apart from what {@link Throwable} changes.
 */
public final class DiskFullException extends IOException {

    private static final long serialVersionUID = 1L;

    public DiskFullException(String message, Throwable cause) {
        super(message, cause);
    }
}
