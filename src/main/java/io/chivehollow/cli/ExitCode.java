package io.chivehollow.cli;

/**
 * Exit codes of the command line interface.
 *
 * <p>Constants; thread-safe.
 */
final class ExitCode {

    /** The command succeeded. */
    static final int SUCCESS = 0;
    /** The command failed for a reason that no other exit code covers. */
    static final int FAILURE = 1;
    /** The settings, the arguments or the document are invalid. */
    static final int INVALID = 2;
    /** The system refused the request. */
    static final int REFUSED = 3;
    /** The system could not be reached; the outcome of a change is unknown. */
    static final int UNREACHABLE = 4;

    private ExitCode() {}
}
