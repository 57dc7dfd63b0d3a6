package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.backend.Backend;

/**
 * One send to a backend server, with what it counts there.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class Attempt {

    final Backend backend;
    final long promptTokens;
    final long memoryTokens;
    final boolean isPrefill;

    /** Whether the first output has come, so that the prompt no longer waits to be read. */
    boolean isPromptRead;

    Attempt(Backend backend, long promptTokens, long memoryTokens, boolean isPrefill) {
        this.backend = backend;
        this.promptTokens = promptTokens;
        this.memoryTokens = memoryTokens;
        this.isPrefill = isPrefill;
    }
}
