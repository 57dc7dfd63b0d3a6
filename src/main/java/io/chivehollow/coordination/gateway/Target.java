package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;

import io.chivehollow.base.BackendServerId;
import io.chivehollow.base.FailureDomain;

/**
 * A backend server with the address of its sidecar.
 *
 * <p>Immutable and thread-safe.
 */
record Target(BackendServerId id, FailureDomain domain, InetSocketAddress sidecarAddress) {}
