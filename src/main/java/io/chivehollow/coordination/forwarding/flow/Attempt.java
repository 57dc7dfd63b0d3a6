package io.chivehollow.coordination.forwarding.flow;

import io.chivehollow.coordination.forwarding.backend.Backend;

/**
 * One attempt to run a request or its prefill at a backend server, with the tokens that it counts there.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
final class Attempt {

    final Backend backend;
    final long promptTokens;
    final long memoryTokens;
    final boolean isPrefill;

    /** Whether the first output has arrived, so that the prompt no longer counts as waiting for prefill. */
    boolean isPrefillDone;

    /** Bytes of the response that have been received. */
    long responseBytes;

    Attempt(Backend backend, long promptTokens, long memoryTokens, boolean isPrefill) {
        this.backend = backend;
        this.promptTokens = promptTokens;
        this.memoryTokens = memoryTokens;
        this.isPrefill = isPrefill;
    }
}
