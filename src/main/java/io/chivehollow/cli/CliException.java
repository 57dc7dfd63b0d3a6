package io.chivehollow.cli;

import io.chivehollow.base.ChivehollowException;
import io.chivehollow.base.ErrorCode;
import org.jspecify.annotations.Nullable;

/**
 * Thrown when a command fails; carries the exit code of the process.
 *
 * <p>Immutable, apart from the mutable state of {@link Throwable}.
 */
final class CliException extends ChivehollowException {

    private static final long serialVersionUID = 1L;

    private final int exitCode;

    private CliException(int exitCode, ErrorCode code, String message, @Nullable Throwable cause) {
        super(code, message, false, cause);
        this.exitCode = exitCode;
    }

    static CliException of(int exitCode, ErrorCode code, String message) {
        return new CliException(exitCode, code, message, null);
    }

    static CliException unreachable(String message, @Nullable Throwable cause) {
        return new CliException(ExitCode.UNREACHABLE, ErrorCode.CONNECTION_LOST, message, cause);
    }

    int exitCode() {
        return exitCode;
    }
}
