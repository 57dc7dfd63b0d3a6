package io.chivehollow.coordination.forwarding.locality;

import io.chivehollow.base.FailureDomain;

/**
 * Prices the use of a server in another failure domain.
 *
 * <p>Used on the event loop of the forwarding role only.
 */
public interface DomainCost {

    /**
     * Returns the time in milliseconds by which a request of this size should prefer to stay in this instance's own
     * domain: 0 for a server of that domain, {@link Double#POSITIVE_INFINITY} if the budget of bytes for leaving is
     * used up.
     */
    double leavingMs(FailureDomain serverDomain, long bytes, long nowNanos);

    /** Returns a cost of 0 for all servers. */
    static DomainCost none() {
        return (serverDomain, bytes, nowNanos) -> 0;
    }
}
