package io.chivehollow.coordination.coldstart;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of a {@link ColdStartRamp}.
 *
 * <p>The warm baseline of a request is {@code fixedMs + msPerToken x tokens}; without the fixed part, short requests
 * would look slow. Immutable and thread-safe.
 *
 * @param maxLimit number of concurrent requests that a warm backend server can handle
 * @param fixedMs fixed part of the service time of a request on a warm backend server, in milliseconds
 * @param msPerToken service time per token on a warm backend server, in milliseconds
 */
public record RampConfig(int maxLimit, double fixedMs, double msPerToken) {

    /** Throws an {@link IllegalArgumentException} if a parameter is out of range. */
    public RampConfig {
        checkArgument(maxLimit > 0, "maxLimit must be positive, but was %s", maxLimit);
        checkArgument(fixedMs >= 0, "fixedMs must not be negative, but was %s", fixedMs);
        checkArgument(msPerToken > 0, "msPerToken must be positive, but was %s", msPerToken);
    }

    /** Returns the warm baseline of a request with the given number of tokens, in milliseconds. */
    public double baselineMs(int tokens) {
        return fixedMs + msPerToken * tokens;
    }
}
