package io.chivehollow.coordination.placement;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Parameters of a {@link TwoChoicesPolicy}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxCandidates number of backend servers to which one request may be sent in turn
 * @param prefillMsPerToken prefill time of one uncached prompt token in ms
 * @param affinityWeight weight of the time that cached prompt tokens save, against the time of queued work: 0 ignores
 *     the prefix cache, 1 counts the whole saved time
 */
public record TwoChoicesConfig(int maxCandidates, double prefillMsPerToken, double affinityWeight) {

    /** Validates the parameters. */
    public TwoChoicesConfig {
        checkArgument(maxCandidates > 0, "maxAsked must be positive, but was %s", maxCandidates);
        checkArgument(prefillMsPerToken > 0, "prefillMsPerToken must be positive, but was %s", prefillMsPerToken);
        checkArgument(affinityWeight >= 0, "affinityWeight must not be negative, but was %s", affinityWeight);
    }
}
