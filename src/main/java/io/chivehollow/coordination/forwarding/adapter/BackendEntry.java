package io.chivehollow.coordination.forwarding.adapter;

import java.net.InetSocketAddress;

import io.chivehollow.base.FailureDomain;

/**
 * A backend server in the platform's list.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of this run of the backend server
 * @param service service to which it belongs
 * @param address address at which it accepts requests
 * @param domain failure domain in which it runs
 * @param isDraining whether it is draining and must not get new requests
 * @param coldRemainingMs time in milliseconds for which it is still cold
 * @param role pool role
 * @param slots number of requests that it can run at the same time
 */
public record BackendEntry(
        String id,
        String service,
        InetSocketAddress address,
        FailureDomain domain,
        boolean isDraining,
        long coldRemainingMs,
        Role role,
        int slots) {

    /** Returns the IP address and the port, separated by a colon. */
    public String addressText() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** The pool role of a backend server. */
    public enum Role {
        /** Runs requests of any kind, without separate prefill and decode. */
        PLAIN,
        /** Runs prefill only. */
        PREFILL,
        /** Runs decode, and prefill if necessary. */
        DECODE
    }
}
