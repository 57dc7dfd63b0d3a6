package io.chivehollow.protocol.engine;

/**
 * An engine's response to a management command.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isAccepted whether the engine responded with a 2xx status, which means that it has executed the command
 * @param message body of the engine's response
 */
public record CommandAnswer(boolean isAccepted, String message) {}
