package io.chivehollow.runtime;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.chivehollow.base.InstanceId;
import io.chivehollow.protocol.wire.Consensus;
import io.chivehollow.protocol.wire.Frame;
import io.chivehollow.state.consensus.PeerTransport;
import io.chivehollow.transport.CallListener;
import io.chivehollow.transport.ClientCall;
import io.chivehollow.transport.ClientConnection;
import io.chivehollow.transport.ConnectionPool;
import io.chivehollow.transport.TransportException;
import org.jspecify.annotations.Nullable;

/**
 * Carries consensus messages to the other replicas, on one long call to each.
 *
 * <p>Invariant: a message goes to the instance that has proved its identity, or is dropped. Thread-safe; each link has
 * its own lock.
 */
public final class PeerLinks implements PeerTransport {

    /** Votes of an election meet links that were never used before; they wait here for the connection. */
    private static final int MAX_PENDING = 16;

    private final Map<InstanceId, Link> links = new ConcurrentHashMap<>();
    private final Function<InstanceId, Optional<InetSocketAddress>> addresses;
    private final ConnectionPool connections;

    private PeerLinks(Function<InstanceId, Optional<InetSocketAddress>> addresses, ConnectionPool connections) {
        this.addresses = addresses;
        this.connections = connections;
    }

    /** Returns links to the instances at the given addresses; a connection is made with the first message. */
    public static PeerLinks create(Map<InstanceId, InetSocketAddress> addresses, ConnectionPool connections) {
        return create(instance -> Optional.ofNullable(addresses.get(instance)), connections);
    }

    /** Returns links whose addresses are looked up with the first message to an instance. */
    public static PeerLinks create(
            Function<InstanceId, Optional<InetSocketAddress>> addresses, ConnectionPool connections) {
        return new PeerLinks(addresses, connections);
    }

    @Override
    public void send(InstanceId to, byte[] message) {
        Link link = links.computeIfAbsent(to, instance -> addresses
                .apply(instance)
                .map(address -> new Link(instance, address, connections))
                .orElse(null));
        if (link != null) {
            link.send(message);
        }
    }

    /** The call to one replica. */
    private static final class Link implements CallListener {

        private final InstanceId instance;
        private final InetSocketAddress address;
        private final ConnectionPool connections;
        private final Deque<Frame.Builder> pending = new ArrayDeque<>();
        private boolean isConnecting;
        private @Nullable ClientCall call;
        private @Nullable ClientConnection connection;

        Link(InstanceId instance, InetSocketAddress address, ConnectionPool connections) {
            this.instance = instance;
            this.address = address;
            this.connections = connections;
        }

        synchronized void send(byte[] message) {
            ByteString payload = UnsafeByteOperations.unsafeWrap(message);
            Frame.Builder frame =
                    Frame.newBuilder().setConsensus(Consensus.newBuilder().setPayload(payload));
            ClientCall open = call;
            ClientConnection current = connection;
            if (open != null && current != null && current.isOpen()) {
                open.send(frame);
                return;
            }
            if (pending.size() == MAX_PENDING) {
                pending.removeFirst();
            }
            pending.addLast(frame);
            if (!isConnecting) {
                isConnecting = true;
                connections.get(address).whenComplete(this::onConnected);
            }
        }

        private synchronized void onConnected(@Nullable ClientConnection made, @Nullable Throwable failure) {
            isConnecting = false;
            if (made == null || !made.peer().equals(instance)) {
                // The protocol sends again with the next heartbeat or election.
                pending.clear();
                return;
            }
            connection = made;
            call = made.open(pending.removeFirst(), this);
            while (!pending.isEmpty()) {
                call.send(pending.removeFirst());
            }
        }

        @Override
        public void onFrame(Frame answer) {
            // Answers travel on the peer's own link.
        }

        @Override
        public synchronized void onFailure(TransportException failure) {
            // The next message makes a new connection and opens a new call.
            call = null;
        }
    }
}
