package io.chivehollow.coordination.forwarding.reserve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.chivehollow.coordination.forwarding.adapter.Dialect;
import io.chivehollow.coordination.forwarding.backend.Backend;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.BackendSelector;
import io.chivehollow.coordination.forwarding.backend.ShortResponse;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Queues requests for language models until a backend server has reserved the memory that they need.
 *
 * <p>The memory of these models is full before their processors are, and the prefill of a prompt is wasted if there is
 * no room for its output. Requests that can still meet their target are served before those that cannot, each group in
 * the order of arrival. The requests of other processes are not visible here. A request that has missed its target
 * therefore first reserves {@link #LATE_MEMORY_FACTOR} times its memory and proceeds only where so much is free. Used
 * on the event loop of the forwarding role only.
 */
public final class MemoryQueue {

    /** Concurrent reservation requests for one service; each takes a round trip of a few milliseconds. */
    private static final int MAX_OPEN_REQUESTS = 4;

    /**
     * Multiple of its own memory that must be free before a late request is served.
     *
     * <p>Without this factor a quarter of the responses in bursts were late ones, and each took the memory of a request
     * that could still be on time.
     */
    private static final int LATE_MEMORY_FACTOR = 2;

    /**
     * Pause in milliseconds after all backend servers have refused; at full load a request ends at one of them about
     * every 50 ms.
     */
    private static final int PAUSE_MS = 25;

    private static final int OK = 200;
    private static final Logger LOG = Logger.getLogger(MemoryQueue.class);

    private final EventLoop loop;
    private final LongSupplier nanoTime;
    private final Dialect dialect;
    private final BackendSelector selector;
    private final BackendConnections connections;
    private final Map<String, ServiceQueue> queues = new HashMap<>();

    private MemoryQueue(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            BackendSelector selector,
            BackendConnections connections) {
        this.loop = loop;
        this.nanoTime = nanoTime;
        this.dialect = dialect;
        this.selector = selector;
        this.connections = connections;
    }

    /** Returns an empty queue that runs on the event loop. */
    public static MemoryQueue create(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            BackendSelector selector,
            BackendConnections connections) {
        return new MemoryQueue(loop, nanoTime, dialect, selector, connections);
    }

    /** Adds a request; the listener receives its reservation, or null if the wait time has expired. */
    public QueuedMemoryRequest add(MemoryRequest request, Consumer<@Nullable MemoryReservation> listener) {
        long expiryNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(request.maxWaitMs());
        QueuedMemoryRequest queued = new QueuedMemoryRequest(request, expiryNanos, listener);
        ServiceQueue queue = queues.computeIfAbsent(request.service(), service -> new ServiceQueue());
        queued.setTimer(loop.schedule(() -> queued.complete(null), request.maxWaitMs(), TimeUnit.MILLISECONDS));
        queue.queueFor(request).addLast(queued);
        queue.sendRequests();
        return queued;
    }

    /**
     * Releases a reservation that is not used. A backend server that wants no requests gets the release later, or not
     * at all if the reservation expires before.
     */
    public void release(MemoryReservation reservation) {
        long now = nanoTime.getAsLong();
        long heldMs = reservation.backend().heldMs(now);
        if (heldMs > 0) {
            if (TimeUnit.MILLISECONDS.toNanos(heldMs) < reservation.expiryNanos() - now) {
                loop.schedule(() -> release(reservation), heldMs, TimeUnit.MILLISECONDS);
            }
            return;
        }
        connections.sendOwn(
                reservation.backend(),
                dialect.releaseReservation(reservation.backend().id(), reservation.id()),
                ShortResponse.of(
                        reservation.backend(),
                        dialect,
                        nanoTime,
                        (status, body) ->
                                LOG.debugf("Response to the release of a memory reservation: status %d", status)),
                ShortResponse.TIMEOUT_MS);
    }

    /**
     * Retries the queued requests of the service immediately, because a request has ended and its memory was released.
     */
    public void onMemoryReleased(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            queue.sendRequests();
        }
    }

    /** The queued requests of one service. */
    private final class ServiceQueue {

        private final Deque<QueuedMemoryRequest> onTime = new ArrayDeque<>();
        private final Deque<QueuedMemoryRequest> late = new ArrayDeque<>();
        private int openRequests;
        private boolean isPaused;

        Deque<QueuedMemoryRequest> queueFor(MemoryRequest request) {
            return request.isLate() ? late : onTime;
        }

        void sendRequests() {
            while (openRequests < MAX_OPEN_REQUESTS) {
                QueuedMemoryRequest next = poll();
                if (next == null) {
                    return;
                }
                long tokens = next.request.tokens() * (next.request.isLate() ? LATE_MEMORY_FACTOR : 1);
                Optional<Backend> backend = selector.selectForMemory(
                        next.request.service(), tokens, next.request.isOutOfService(), nanoTime.getAsLong());
                if (backend.isEmpty()) {
                    queueFor(next.request).addFirst(next);
                    refuseUnservable();
                    pause();
                    return;
                }
                sendRequest(next, backend.get(), tokens);
            }
        }

        /** Refuses the queued requests for which no backend server can return before their wait time expires. */
        private void refuseUnservable() {
            long now = nanoTime.getAsLong();
            for (Deque<QueuedMemoryRequest> queued : List.of(onTime, late)) {
                queued.removeIf(next -> {
                    boolean isUnservable = next.isExpiredIn(unavailableNanos(next.request, now), now);
                    if (isUnservable) {
                        // The listener may add requests to the queue or retry the queued ones.
                        loop.execute(() -> next.complete(null));
                    }
                    return isUnservable;
                });
            }
        }

        private long unavailableNanos(MemoryRequest request, long now) {
            return selector.unavailableNanos(request.service(), true, request.isOutOfService(), now);
        }

        private @Nullable QueuedMemoryRequest poll() {
            for (Deque<QueuedMemoryRequest> queued : List.of(onTime, late)) {
                for (QueuedMemoryRequest next = queued.pollFirst(); next != null; next = queued.pollFirst()) {
                    if (!next.isDone()) {
                        return next;
                    }
                }
            }
            return null;
        }

        private void pause() {
            if (!isPaused) {
                isPaused = true;
                loop.schedule(
                        () -> {
                            isPaused = false;
                            sendRequests();
                        },
                        PAUSE_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        private void sendRequest(QueuedMemoryRequest queued, Backend backend, long tokens) {
            openRequests++;
            backend.onReserve(tokens);
            connections.sendOwn(
                    backend,
                    dialect.reserve(backend.id(), tokens, queued.request.reservationMs()),
                    ShortResponse.of(
                            backend,
                            dialect,
                            nanoTime,
                            (status, body) -> onResponse(queued, backend, tokens, status, body)),
                    ShortResponse.TIMEOUT_MS);
        }

        private void onResponse(QueuedMemoryRequest queued, Backend backend, long tokens, int status, byte[] body) {
            openRequests--;
            backend.onReserveEnd(tokens);
            Optional<String> id = status == OK ? dialect.readReservation(body) : Optional.empty();
            if (id.isPresent()) {
                MemoryReservation reservation = new MemoryReservation(
                        backend,
                        id.get(),
                        tokens,
                        nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(queued.request.reservationMs()));
                if (queued.isDone()) {
                    release(reservation);
                } else if (!backend.mayReceive(nanoTime.getAsLong())) {
                    release(reservation);
                    queueFor(queued.request).addFirst(queued);
                } else if (tokens > queued.request.tokens()) {
                    release(reservation);
                    sendRequest(queued, backend, queued.request.tokens());
                } else {
                    queued.complete(reservation);
                }
            } else {
                if (status == ShortResponse.NO_STATUS) {
                    backend.onFailure(nanoTime.getAsLong());
                } else {
                    backend.onMemoryFull(tokens, nanoTime.getAsLong());
                }
                if (!queued.isDone()) {
                    queueFor(queued.request).addFirst(queued);
                }
            }
            sendRequests();
        }
    }
}
