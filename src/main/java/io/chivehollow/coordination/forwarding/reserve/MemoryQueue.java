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
import io.chivehollow.coordination.forwarding.backend.BackendChoice;
import io.chivehollow.coordination.forwarding.backend.BackendConnections;
import io.chivehollow.coordination.forwarding.backend.ShortAnswer;
import io.netty.channel.EventLoop;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Lets requests for language models wait until a backend server has reserved the memory that they need.
 *
 * <p>Answers the load of models whose memory is full before their processors are: a prompt that is read before there is
 * room for its output is read in vain. Requests that can still meet their target go before those that cannot, each in
 * the order of their arrival. Other processes' requests are not known here, so one that has missed its target asks for
 * {@link #LATE_FACTOR} times its memory first and goes on only where so much is free. Used on the event loop of the
 * forwarding role only.
 */
public final class MemoryQueue {

    /** A reservation lasts from the grant until the prompt has been read; the deployments keep one for at most 2 s. */
    private static final int RESERVATION_MS = 2_000;

    /** Questions that are open at the same time for one service; each takes a round trip of a few milliseconds. */
    private static final int MAX_OPEN = 4;

    /**
     * Memory that must be free, for each token that a late request needs.
     *
     * <p>Without it a quarter of the answers were late ones in bursts, and each took the room of one on time.
     */
    private static final int LATE_FACTOR = 2;

    /** Pause after all backend servers have refused; a request ends at one of them about each 50 ms at full load. */
    private static final int PAUSE_MS = 25;

    private static final int OK = 200;
    private static final Logger LOG = Logger.getLogger(MemoryQueue.class);

    private final EventLoop loop;
    private final LongSupplier nanoTime;
    private final Dialect dialect;
    private final BackendChoice choice;
    private final BackendConnections connections;
    private final Map<String, ServiceQueue> queues = new HashMap<>();

    private MemoryQueue(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            BackendChoice choice,
            BackendConnections connections) {
        this.loop = loop;
        this.nanoTime = nanoTime;
        this.dialect = dialect;
        this.choice = choice;
        this.connections = connections;
    }

    /** Returns an empty queue. */
    public static MemoryQueue create(
            EventLoop loop,
            LongSupplier nanoTime,
            Dialect dialect,
            BackendChoice choice,
            BackendConnections connections) {
        return new MemoryQueue(loop, nanoTime, dialect, choice, connections);
    }

    /** Adds a request; the listener hears of its reservation, or of null when the time is over. */
    public MemoryTicket add(MemoryDemand demand, Consumer<@Nullable MemoryReservation> listener) {
        MemoryTicket ticket = new MemoryTicket(demand, listener);
        ServiceQueue queue = queues.computeIfAbsent(demand.service(), service -> new ServiceQueue());
        ticket.setTimer(loop.schedule(() -> ticket.complete(null), demand.maxWaitMs(), TimeUnit.MILLISECONDS));
        queue.of(demand).addLast(ticket);
        queue.pump();
        return ticket;
    }

    /** Frees a reservation that is not used. */
    public void drop(MemoryReservation reservation) {
        connections.send(
                reservation.backend(),
                dialect.dropReservation(reservation.backend().id(), reservation.id()),
                new ShortAnswer((status, body) -> LOG.debugf("A reservation was dropped: %d", status)),
                ShortAnswer.TIMEOUT_MS);
    }

    /** Tries again at once after a request has ended, which has freed memory. */
    public void onFreed(String service) {
        ServiceQueue queue = queues.get(service);
        if (queue != null) {
            queue.pump();
        }
    }

    /** The requests that wait for one service. */
    private final class ServiceQueue {

        private final Deque<MemoryTicket> onTime = new ArrayDeque<>();
        private final Deque<MemoryTicket> late = new ArrayDeque<>();
        private int open;
        private boolean isPaused;

        Deque<MemoryTicket> of(MemoryDemand demand) {
            return demand.isLate() ? late : onTime;
        }

        void pump() {
            while (open < MAX_OPEN) {
                MemoryTicket next = poll();
                if (next == null) {
                    return;
                }
                long tokens = next.demand.tokens() * (next.demand.isLate() ? LATE_FACTOR : 1);
                Optional<Backend> backend =
                        choice.memory(next.demand.service(), tokens, next.demand.isOut(), nanoTime.getAsLong());
                if (backend.isEmpty()) {
                    of(next.demand).addFirst(next);
                    pause();
                    return;
                }
                ask(next, backend.get(), tokens);
            }
        }

        private @Nullable MemoryTicket poll() {
            for (Deque<MemoryTicket> tickets : List.of(onTime, late)) {
                for (MemoryTicket next = tickets.pollFirst(); next != null; next = tickets.pollFirst()) {
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
                            pump();
                        },
                        PAUSE_MS,
                        TimeUnit.MILLISECONDS);
            }
        }

        private void ask(MemoryTicket ticket, Backend backend, long tokens) {
            open++;
            backend.onReserve(tokens);
            connections.send(
                    backend,
                    dialect.reserve(backend.id(), tokens, RESERVATION_MS),
                    new ShortAnswer((status, body) -> onAnswer(ticket, backend, tokens, status, body)),
                    ShortAnswer.TIMEOUT_MS);
        }

        private void onAnswer(MemoryTicket ticket, Backend backend, long tokens, int status, byte[] body) {
            open--;
            backend.onReserveEnd(tokens);
            Optional<String> id = status == OK ? dialect.readReservation(body) : Optional.empty();
            if (id.isPresent()) {
                MemoryReservation reservation = new MemoryReservation(backend, id.get(), tokens);
                if (ticket.isDone()) {
                    drop(reservation);
                } else if (tokens > ticket.demand.tokens()) {
                    drop(reservation);
                    ask(ticket, backend, ticket.demand.tokens());
                } else {
                    ticket.complete(reservation);
                }
            } else {
                if (status == ShortAnswer.NO_STATUS) {
                    backend.onFailure(nanoTime.getAsLong());
                } else {
                    backend.onMemoryFull(tokens, nanoTime.getAsLong());
                }
                if (!ticket.isDone()) {
                    of(ticket.demand).addFirst(ticket);
                }
            }
            pump();
        }
    }
}
