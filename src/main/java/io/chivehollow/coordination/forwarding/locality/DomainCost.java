package io.chivehollow.coordination.forwarding.locality;

import io.chivehollow.base.FailureDomain;

/**
 * Prices the use of a server in another failure domain.
 *
 * <p>Implementations are used on the event loop of the forwarding role only.
 */
public interface DomainCost {

    /**
     * Returns the time in milliseconds by which a request of this size should prefer a server of this instance's own
     * failure domain: 0 for a server of that domain, {@link Double#POSITIVE_INFINITY} if nothing may leave for the
     * server's domain now.
     *
     * @param serverDomain failure domain of the server
     * @param bytes size of the request and its response
     * @param nowNanos monotonic time in nanoseconds
     */
    double leavingMs(FailureDomain serverDomain, long bytes, long nowNanos);

    /** Returns a cost of 0 for all servers. */
    static DomainCost none() {
        return (serverDomain, bytes, nowNanos) -> 0;
    }
}
