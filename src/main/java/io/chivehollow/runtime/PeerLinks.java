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
 * Sends consensus messages to the other replicas, on one long-lived call to each.
 *
 * <p>Invariant: a message is sent only to the instance that has proved its identity, or is discarded. Thread-safe; each
 * link has its own lock.
 */
public final class PeerLinks implements PeerTransport {

    /** Messages per link that wait for its connection; a vote in an election is often the first message on a link. */
    private static final int MAX_PENDING_MESSAGES = 16;

    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Function<InstanceId, Optional<InetSocketAddress>> addresses;
    private final ConnectionPool connections;

    private PeerLinks(Function<InstanceId, Optional<InetSocketAddress>> addresses, ConnectionPool connections) {
        this.addresses = addresses;
        this.connections = connections;
    }

    /** Returns links to the instances at the given addresses; the first message to an instance opens its connection. */
    public static PeerLinks create(Map<InstanceId, InetSocketAddress> addresses, ConnectionPool connections) {
        return create(instance -> Optional.ofNullable(addresses.get(instance)), connections);
    }

    /** Returns links whose addresses are resolved when the first message to an instance is sent. */
    public static PeerLinks create(
            Function<InstanceId, Optional<InetSocketAddress>> addresses, ConnectionPool connections) {
        return new PeerLinks(addresses, connections);
    }

    @Override
    public void send(InstanceId to, byte[] message) {
        PeerLink link = links.computeIfAbsent(to, instance -> addresses
                .apply(instance)
                .map(address -> new PeerLink(instance, address, connections))
                .orElse(null));
        if (link != null) {
            link.send(message);
        }
    }

    /** The link to one replica: its long-lived call, and the messages that wait for the connection. */
    private static final class PeerLink implements CallListener {

        private final InstanceId instance;
        private final InetSocketAddress address;
        private final ConnectionPool connections;
        private final Deque<Frame.Builder> pending = new ArrayDeque<>();
        private boolean isConnecting;
        private @Nullable ClientCall call;
        private @Nullable ClientConnection connection;

        PeerLink(InstanceId instance, InetSocketAddress address, ConnectionPool connections) {
            this.instance = instance;
            this.address = address;
            this.connections = connections;
        }

        synchronized void send(byte[] message) {
            ByteString payload = UnsafeByteOperations.unsafeWrap(message);
            Frame.Builder frame =
                    Frame.newBuilder().setConsensus(Consensus.newBuilder().setPayload(payload));
            ClientCall openCall = call;
            ClientConnection currentConnection = connection;
            if (openCall != null && currentConnection != null && currentConnection.isOpen()) {
                openCall.send(frame);
                return;
            }
            if (pending.size() == MAX_PENDING_MESSAGES) {
                pending.removeFirst();
            }
            pending.addLast(frame);
            if (!isConnecting) {
                isConnecting = true;
                connections.get(address).whenComplete(this::onConnected);
            }
        }

        private synchronized void onConnected(@Nullable ClientConnection newConnection, @Nullable Throwable failure) {
            isConnecting = false;
            if (newConnection == null || !newConnection.peer().equals(instance)) {
                // The consensus protocol retries with the next heartbeat or election.
                pending.clear();
                return;
            }
            connection = newConnection;
            call = newConnection.open(pending.removeFirst(), this);
            while (!pending.isEmpty()) {
                call.send(pending.removeFirst());
            }
        }

        @Override
        public void onFrame(Frame frame) {
            // The peer sends its responses on its own link.
        }

        @Override
        public synchronized void onFailure(TransportException failure) {
            // The next message opens a new connection and a new call.
            call = null;
        }
    }
}
