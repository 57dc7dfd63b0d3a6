package io.chivehollow.coordination.forwarding.reserve;

import java.util.ArrayList;
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
import io.chivehollow.coordination.forwarding.queue.QueueEvents;
import io.chivehollow.coordination.forwarding.queue.QueueEvents.Outcome;
import io.chivehollow.coordination.forwarding.queue.Urgency;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * Queues requests for language models until a backend server has reserved the memory that they need.
 *
 * <p>The memory of these models is full before their processors are, and the prefill of a prompt is wasted if there is
 * no room for its output. The requests of a service are served in the order of their arrival, or of their urgency if
 * the deployment distinguishes priorities at the service. The requests of other processes are not visible here. A
 * request that should yield to them first reserves a multiple of its memory and proceeds only where so much is free.
 * Used on the event loop of the forwarding role only.
 */
public final class MemoryQueue {

    /** Concurrent reservation requests for one service; each takes a round trip of a few milliseconds. */
    private static final int MAX_OPEN_REQUESTS = 4;

    private final Timers timers;
    private final LongSupplier nanoTime;
    private final BackendSelector selector;
    private final MemoryCalls calls;
    private final QueueEvents events;
    private final Map<String, ServiceQueue> queues = new HashMap<>();

    private MemoryQueue(
            Timers timers, LongSupplier nanoTime, BackendSelector selector, MemoryCalls calls, QueueEvents events) {
        this.timers = timers;
        this.nanoTime = nanoTime;
        this.selector = selector;
        this.calls = calls;
        this.events = events;
    }

    /** Returns an empty queue that runs on the event loop. */
    public static MemoryQueue create(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            BackendSelector selector,
            BackendConnections connections,
            QueueEvents events) {
        return create(Timers.of(loop), nanoTime, selector, MemoryCalls.over(connections, dialect, nanoTime), events);
    }

    static MemoryQueue create(
            Timers timers, LongSupplier nanoTime, BackendSelector selector, MemoryCalls calls, QueueEvents events) {
        return new MemoryQueue(timers, nanoTime, selector, calls, events);
    }

    /** Adds a request; the listener receives its reservation, or null if the wait time has expired. */
    public QueuedMemoryRequest add(MemoryRequest request, Consumer<@Nullable MemoryReservation> listener) {
        long now = nanoTime.getAsLong();
        long expiryNanos = now + TimeUnit.MILLISECONDS.toNanos(request.maxWaitMs());
        ServiceQueue queue = queues.computeIfAbsent(request.service(), service -> new ServiceQueue());
        QueuedMemoryRequest queued = new QueuedMemoryRequest(request, now, expiryNanos, listener, queue::onDone);
        queued.setTimer(timers.schedule(() -> queued.refuse(Outcome.EXPIRED), request.maxWaitMs()));
        queue.add(queued, now);
        return queued;
    }

    /** Returns the number of waiting requests of the service that are served before the request. */
    public int countBefore(QueuedMemoryRequest queued) {
        ServiceQueue queue = queues.get(queued.request.service());
        return queue == null ? 0 : queue.line.countBefore(queued, nanoTime.getAsLong());
    }

    /** Returns the expected time in milliseconds until the service has served its queue, 0 if it is not known. */
    public long drainMs(String service) {
        ServiceQueue queue = queues.get(service);
        return queue == null ? 0 : TimeUnit.NANOSECONDS.toMillis(queue.line.drainNanos(nanoTime.getAsLong()));
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
                timers.schedule(() -> release(reservation), heldMs);
            }
            return;
        }
        calls.release(reservation.backend(), reservation.id());
    }

    /**
     * Retries the queued requests of the service immediately, because a request has ended and its memory was released.
     */
    public void onMemoryReleased(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            queue.line.onReleased(nanoTime.getAsLong());
            queue.sendRequests();
        }
    }

    /** The queued requests of one service. */
    private final class ServiceQueue {

        private WaitingLine line = new ArrivalLine();
        private int openRequests;
        private Runnable stopPause = () -> {};
        private long pauseEndNanos = Long.MAX_VALUE;

        void add(QueuedMemoryRequest queued, long now) {
            Urgency urgency = queued.request.urgency();
            if ((urgency != null) != line instanceof UrgencyLine && openRequests == 0) {
                List<QueuedMemoryRequest> present = new ArrayList<>(line.untried());
                line = urgency == null ? new ArrivalLine() : new UrgencyLine();
                present.forEach(waiting -> line.add(waiting, now));
            }
            if (urgency != null) {
                events.onWaiting(urgency.rank());
            }
            line.add(queued, now);
            refuse(line.hopeless(now), Outcome.HOPELESS);
            sendRequests();
        }

        void onDone(QueuedMemoryRequest queued, Outcome outcome) {
            long now = nanoTime.getAsLong();
            line.onDone(queued, outcome == Outcome.SERVED, now);
            Urgency urgency = queued.request.urgency();
            if (urgency != null) {
                events.onWaitEnded(urgency.rank(), outcome, now - queued.arrivalNanos);
            }
        }

        void sendRequests() {
            while (openRequests < MAX_OPEN_REQUESTS) {
                long now = nanoTime.getAsLong();
                List<QueuedMemoryRequest> candidates = line.candidates(now);
                if (candidates.isEmpty()) {
                    if (!line.untried().isEmpty()) {
                        pause(line.pauseMs(now));
                    }
                    return;
                }
                if (!sendFirstPossible(candidates, now)) {
                    refuseUnservable(now);
                    pause(line.pauseMs(now));
                    return;
                }
            }
        }

        /** Sends the first request for which a backend server may have memory; returns whether there is one. */
        private boolean sendFirstPossible(List<QueuedMemoryRequest> candidates, long now) {
            for (QueuedMemoryRequest next : candidates) {
                long tokens = line.requiredTokens(next, now);
                Optional<Backend> backend =
                        selector.selectForMemory(next.request.service(), tokens, next.request.isOutOfService(), now);
                if (backend.isPresent()) {
                    line.onTried(next, now);
                    sendRequest(next, backend.get(), tokens);
                    return true;
                }
                line.onUnplaced(next, now);
            }
            return false;
        }

        /** Refuses the queued requests for which no backend server can return before their wait time expires. */
        private void refuseUnservable(long now) {
            refuse(
                    line.untried().stream()
                            .filter(next -> next.isExpiredIn(unavailableNanos(next.request, now), now))
                            .toList(),
                    Outcome.UNAVAILABLE);
        }

        private void refuse(List<QueuedMemoryRequest> refused, Outcome outcome) {
            // The listener may add requests to the queue or retry the queued ones.
            refused.forEach(next -> timers.schedule(() -> next.refuse(outcome), 0));
        }

        private long unavailableNanos(MemoryRequest request, long now) {
            return selector.unavailableNanos(request.service(), true, request.isOutOfService(), now);
        }

        private void pause(long pauseMs) {
            long endNanos = nanoTime.getAsLong() + TimeUnit.MILLISECONDS.toNanos(pauseMs);
            if (endNanos < pauseEndNanos) {
                stopPause.run();
                pauseEndNanos = endNanos;
                stopPause = timers.schedule(
                        () -> {
                            pauseEndNanos = Long.MAX_VALUE;
                            sendRequests();
                        },
                        pauseMs);
            }
        }

        private void sendRequest(QueuedMemoryRequest queued, Backend backend, long tokens) {
            openRequests++;
            backend.onReserve(tokens);
            calls.reserve(
                    backend,
                    tokens,
                    queued.request.reservationMs(),
                    (isAnswered, id) -> onResponse(queued, backend, tokens, isAnswered, id));
        }

        private void onResponse(
                QueuedMemoryRequest queued, Backend backend, long tokens, boolean isAnswered, Optional<String> id) {
            openRequests--;
            backend.onReserveEnd(tokens);
            long now = nanoTime.getAsLong();
            if (id.isPresent()) {
                MemoryReservation reservation = new MemoryReservation(
                        backend, id.get(), tokens, now + TimeUnit.MILLISECONDS.toNanos(queued.request.reservationMs()));
                if (queued.isDone()) {
                    release(reservation);
                } else if (!backend.mayReceive(now)) {
                    release(reservation);
                    line.onReturned(queued, now);
                } else if (tokens > queued.request.tokens()) {
                    release(reservation);
                    sendRequest(queued, backend, queued.request.tokens());
                } else {
                    queued.complete(reservation);
                }
            } else {
                if (isAnswered) {
                    backend.onMemoryFull(tokens, now);
                    line.onMemoryFull(now);
                } else {
                    backend.onFailure(now);
                }
                if (!queued.isDone()) {
                    line.onReturned(queued, now);
                }
            }
            sendRequests();
        }
    }
}
