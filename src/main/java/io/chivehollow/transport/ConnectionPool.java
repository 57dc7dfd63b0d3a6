package io.chivehollow.transport;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.chivehollow.base.ErrorCode;
import io.chivehollow.protocol.wire.Frame;
import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;

/**
 * Holds one connection to each peer and opens a new one when the connection is lost.
 *
 * <p>Thread-safe. At most one connection attempt to an address is in progress at a time.
 */
public final class ConnectionPool implements AutoCloseable {

    private final FrameClient client;
    private final EventLoopGroup eventLoops;
    private final Map<InetSocketAddress, CompletableFuture<ClientConnection>> connections = new ConcurrentHashMap<>();

    /** Value of the use counter at the last {@link #get} of each address; orders the connections by their last use. */
    private final Map<InetSocketAddress, Long> lastUses = new ConcurrentHashMap<>();

    private final AtomicLong useCount = new AtomicLong();
    private long usesAtLastCleanup;

    private ConnectionPool(FrameClient client, EventLoopGroup eventLoops) {
        this.client = client;
        this.eventLoops = eventLoops;
    }

    /** Returns an empty pool. */
    public static ConnectionPool create(FrameClient client, EventLoopGroup eventLoops) {
        return new ConnectionPool(client, eventLoops);
    }

    /**
     * Returns an open connection to the address, an existing one if possible.
     *
     * <p>The future fails with a {@link TransportException}.
     */
    public CompletableFuture<ClientConnection> get(InetSocketAddress address) {
        lastUses.put(address, useCount.incrementAndGet());
        return connections.compute(address, (key, current) -> isUsable(current) ? current : client.connect(key));
    }

    private static boolean isUsable(@Nullable CompletableFuture<ClientConnection> current) {
        if (current == null) {
            return false;
        }
        if (!current.isDone()) {
            return true;
        }
        return !current.isCompletedExceptionally() && current.join().isOpen();
    }

    /**
     * Closes connections beyond the limit that are not in use, the longest unused first.
     *
     * <p>A connection that {@link #get} has returned since the last call of this method counts as in use, so that none
     * is closed between {@link #get} and the opening of a call.
     *
     * @param limit number of connections that stay open even when they are not used
     * @param exempt addresses whose connections are neither counted nor closed
     */
    public synchronized void closeUnused(int limit, Set<InetSocketAddress> exempt) {
        List<InetSocketAddress> counted = connections.keySet().stream()
                .filter(address -> !exempt.contains(address) && isUsable(connections.get(address)))
                .toList();
        List<InetSocketAddress> unused = counted.stream()
                .filter(this::isUnused)
                .sorted(Comparator.comparing(address -> lastUses.getOrDefault(address, 0L)))
                .limit(Math.max(0, counted.size() - limit))
                .toList();
        usesAtLastCleanup = useCount.get();
        for (InetSocketAddress address : unused) {
            CompletableFuture<ClientConnection> closed = connections.remove(address);
            if (closed != null) {
                closed.thenAccept(ClientConnection::close);
            }
        }
        lastUses.keySet().retainAll(connections.keySet());
    }

    private boolean isUnused(InetSocketAddress address) {
        CompletableFuture<ClientConnection> connection = connections.get(address);
        return connection != null
                && connection.isDone()
                && !connection.isCompletedExceptionally()
                && lastUses.getOrDefault(address, 0L) <= usesAtLastCleanup
                && !connection.join().hasOpenCalls();
    }

    /**
     * Sends one frame and returns the response, which is a single frame.
     *
     * <p>Cancels the call if no response arrives within the timeout. The future fails with a {@link
     * TransportException}.
     */
    public CompletableFuture<Frame> call(InetSocketAddress address, Frame.Builder request, int timeoutMs) {
        CompletableFuture<Frame> response = new CompletableFuture<>();
        get(address).whenComplete((connection, failure) -> {
            if (failure != null) {
                response.completeExceptionally(failure);
                return;
            }
            callOn(connection, request, timeoutMs, response);
        });
        return response;
    }

    private void callOn(
            ClientConnection connection, Frame.Builder request, int timeoutMs, CompletableFuture<Frame> response) {
        AtomicReference<ClientCall> call = new AtomicReference<>();
        var timer = eventLoops.schedule(
                () -> {
                    TransportException timeout = TransportException.mayHaveRun(
                            ErrorCode.DEADLINE_EXCEEDED, "No response within " + timeoutMs + " ms");
                    ClientCall open = call.get();
                    if (response.completeExceptionally(timeout) && open != null) {
                        open.cancel();
                    }
                },
                timeoutMs,
                TimeUnit.MILLISECONDS);
        call.set(connection.open(request, new CallListener() {
            @Override
            public void onFrame(Frame frame) {
                timer.cancel(false);
                response.complete(frame);
            }

            @Override
            public void onFailure(TransportException failure) {
                timer.cancel(false);
                response.completeExceptionally(failure);
            }
        }));
    }

    /** Closes all connections. */
    @Override
    public void close() {
        for (CompletableFuture<ClientConnection> connection : connections.values()) {
            connection.thenAccept(ClientConnection::close);
        }
        connections.clear();
    }
}
