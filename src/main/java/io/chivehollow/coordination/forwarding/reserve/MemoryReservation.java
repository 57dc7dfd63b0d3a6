package io.chivehollow.coordination.forwarding.reserve;

import io.chivehollow.coordination.forwarding.backend.Backend;

/**
 * Memory that a backend server keeps for one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backend the backend server
 * @param id name of the reservation there
 * @param tokens size of the memory
 */
public record MemoryReservation(Backend backend, String id, long tokens) {}
