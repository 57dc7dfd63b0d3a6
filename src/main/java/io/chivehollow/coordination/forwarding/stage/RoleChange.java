package io.chivehollow.coordination.forwarding.stage;

import io.chivehollow.coordination.forwarding.adapter.BackendEntry.Role;

/**
 * A change of the pool role of one backend server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param backendServer id of the backend server
 * @param role the new pool role
 */
public record RoleChange(String backendServer, Role role) {}
