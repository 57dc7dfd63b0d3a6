package io.chivehollow.coordination.forwarding.locality;

import io.chivehollow.base.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A failure domain that has servers which may receive a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param domain the failure domain
 * @param waitMs expected time in milliseconds that the request waits there, infinite if no server has room
 */
public record DomainOption(FailureDomain domain, double waitMs) {

    public DomainOption {
        checkArgument(waitMs >= 0, "waitMs must not be negative, but was %s", waitMs);
    }
}
