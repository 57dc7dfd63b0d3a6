package io.chivehollow.coordination.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The properties of a request on which a placement decision depends.
 *
 * <p>Immutable and thread-safe.
 *
 * @param phase work that the backend server is to do
 * @param promptTokens length of the prompt in tokens
 * @param blocks memory blocks that the request needs, 0 if it needs none
 */
public record PlacementRequest(Phase phase, int promptTokens, int blocks) {

    /** Validates the components. */
    public PlacementRequest {
        checkArgument(promptTokens >= 0, "promptTokens must not be negative, but was %s", promptTokens);
        checkArgument(blocks >= 0, "blocks must not be negative, but was %s", blocks);
    }

    /** The work that a backend server is to do for a request. */
    public enum Phase {
        /** Computes the KV cache of the prompt. */
        PREFILL,
        /** Generates the output tokens. */
        DECODE,
        /** Handles a call to an ordinary service. */
        PLAIN
    }
}
