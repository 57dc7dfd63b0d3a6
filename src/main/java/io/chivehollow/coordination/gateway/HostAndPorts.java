package io.chivehollow.coordination.gateway;

import java.net.InetSocketAddress;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.chivehollow.protocol.wire.BackendServer;

/**
 * Converts addresses from and to text.
 *
 * <p>Stateless and thread-safe.
 */
final class HostAndPorts {

    private HostAndPorts() {}

    /** Returns the address of a backend server's sidecar. Releases are validated, so no host name is resolved here. */
    static InetSocketAddress sidecarOf(BackendServer server) {
        HostAndPort address = HostAndPort.fromString(server.getSidecarAddress());
        return new InetSocketAddress(InetAddresses.forString(address.getHost()), address.getPort());
    }

    static String toText(InetSocketAddress address) {
        return HostAndPort.fromParts(address.getAddress().getHostAddress(), address.getPort())
                .toString();
    }
}
