package io.chivehollow.coordination.forwarding.adapter;

import java.net.InetSocketAddress;

import io.chivehollow.base.FailureDomain;

/**
 * One backend server as the platform lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of this run of the backend server
 * @param service service that it belongs to
 * @param address address at which it is reached
 * @param domain failure domain in which it is
 * @param isDraining whether it is leaving
 * @param coldLeftMs time for which it is still cold
 * @param role what it does with prompts
 * @param slots requests that it runs at the same time
 */
public record BackendEntry(
        String id,
        String service,
        InetSocketAddress address,
        FailureDomain domain,
        boolean isDraining,
        long coldLeftMs,
        Role role,
        int slots) {

    /** Returns the address as IP address and port. */
    public String addressText() {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** What a backend server does with prompts. */
    public enum Role {
        /** Runs requests of any kind. */
        PLAIN,
        /** Only reads prompts. */
        PREFILL,
        /** Makes tokens, and reads prompts if need be. */
        DECODE
    }
}
