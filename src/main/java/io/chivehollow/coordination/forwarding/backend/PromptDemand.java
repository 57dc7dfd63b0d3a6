package io.chivehollow.coordination.forwarding.backend;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A prompt for which a prefill server is selected, with the objectives of its route.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service service that is to run the request
 * @param tokens number of prompt tokens
 * @param targetMs time in milliseconds within which the first output is due
 * @param gapMs longest pause between two events of a stream that is on time, in milliseconds
 */
public record PromptDemand(String service, long tokens, long targetMs, long gapMs) {

    /** Validates the demand. */
    public PromptDemand {
        checkArgument(tokens >= 0, "tokens must not be negative, but was %s", tokens);
        checkArgument(targetMs >= 0, "targetMs must not be negative, but was %s", targetMs);
        checkArgument(gapMs >= 0, "gapMs must not be negative, but was %s", gapMs);
    }
}
