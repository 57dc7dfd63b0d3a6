package io.chivehollow.benchmark;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

import io.chivehollow.base.InstanceId;
import io.chivehollow.runtime.PeerLinks;
import io.chivehollow.state.consensus.PeerTransport;
import io.chivehollow.transport.ConnectionPool;

/**
 * A peer transport that sends over the production links between replicas and counts the sent bytes.
 *
 * <p>Thread-safe.
 */
final class CountingPeerTransport implements PeerTransport {

    /** Size of the length prefix of a frame, the call id, and the field headers of the frame and the payload. */
    private static final int OVERHEAD_BYTES = 14;

    private final PeerLinks links;
    private final LongAdder sentBytes = new LongAdder();

    CountingPeerTransport(ConnectionPool pool, Map<InstanceId, InetSocketAddress> addresses) {
        this.links = PeerLinks.create(addresses, pool);
    }

    @Override
    public void send(InstanceId to, byte[] message) {
        sentBytes.add(message.length + OVERHEAD_BYTES);
        links.send(to, message);
    }

    long sentBytes() {
        return sentBytes.sum();
    }
}
