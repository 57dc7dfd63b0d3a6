package io.chivehollow.cli;

/**
 * A command of the command line interface.
 *
 * <p>Implementations are used by one thread.
 */
interface CliCommand {

    /** Runs the command and returns the exit code. */
    int run();
}
