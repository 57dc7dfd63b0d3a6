package io.chivehollow.coordination.forwarding.reserve;

import io.chivehollow.coordination.forwarding.backend.Backend;

/**
 * Memory that a backend server has reserved for one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backend the backend server
 * @param id id of the reservation at this backend server
 * @param tokens size of the memory in tokens
 * @param expiryNanos time at which the backend server ends the reservation by itself
 */
public record MemoryReservation(Backend backend, String id, long tokens, long expiryNanos) {}
