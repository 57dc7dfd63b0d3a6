package io.chivehollow.coordination.placement;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A backend server that may process a request, with the gateway's information about it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param server the backend server
 * @param failureDomain the failure domain of the backend server
 * @param load load that its sidecar reported last
 * @param loadAgeMs age of that report in ms
 * @param cachedPrefixTokens tokens at the start of the prompt that are probably in the engine's prefix cache
 */
public record Candidate(
        BackendServerId server, FailureDomain failureDomain, Load load, long loadAgeMs, int cachedPrefixTokens) {

    /** Validates the components. */
    public Candidate {
        checkArgument(loadAgeMs >= 0, "loadAgeMs must not be negative, but was %s", loadAgeMs);
        checkArgument(
                cachedPrefixTokens >= 0, "cachedPrefixTokens must not be negative, but was %s", cachedPrefixTokens);
    }
}
